package thistlefall.request;

import java.util.Locale;
import thistlefall.Ports.Reason;

/**
 * Why a request was not served: the reasons of the decision module and those that the host adds. The code appears in
 * responses, logs and counts.
 */
public enum FailureCause {
    /** Beyond the quota, by a fresh report of the counter. */
    QUOTA,
    /** Beyond the quota, by an estimate from an older report. */
    QUOTA_ESTIMATED,
    /** Beyond this node's share of the quota while the counter can't be read. */
    QUOTA_PART,
    /** Beyond what this node may spend under the customer's ceiling. */
    CEILING,
    /** The request came with too little time left. */
    TIME,
    /** The request waited too long in a queue, or had the lowest worth in a queue that was too long. */
    QUEUE,
    /** No server accepted the request within its attempts. */
    SERVERS,
    /** The class or the plan of the request is unknown. */
    UNKNOWN,
    /** The token is not active or does not permit the request. */
    TOKEN,
    /** The token could not be checked in time. */
    TOKEN_UNKNOWN,
    /** The node holds as many open requests as allowed. */
    FULL,
    /** The client sent too many requests at once on one connection. */
    PIPELINED,
    /** The connections of clients hold as much memory as allowed, this one its part of it. */
    MEMORY,
    /** The node shuts down. */
    STOPPING,
    /** The deadline came and the request was still open. */
    OVERDUE,
    /** An error inside the node. */
    CRASHED,
    /** An attempt may have taken effect, and the request must not be repeated. */
    EFFECT,
    /** The client left, or its body broke off. */
    CLIENT;

    /** Returns the cause for a reason of the decision module. */
    public static FailureCause of(Reason reason) {
        return switch (reason) {
            case QUOTA -> QUOTA;
            case QUOTA_ESTIMATED -> QUOTA_ESTIMATED;
            case QUOTA_PART -> QUOTA_PART;
            case CEILING -> CEILING;
            case TIME -> TIME;
            case QUEUE -> QUEUE;
            case SERVERS -> SERVERS;
            case CUSTOMERS -> MEMORY;
            case UNKNOWN -> UNKNOWN;
        };
    }

    /** Returns whether the cause is a limit of the customer and not the capacity of this gateway. */
    public boolean concernsCustomer() {
        return this == QUOTA || this == QUOTA_ESTIMATED || this == QUOTA_PART || this == CEILING;
    }

    /** Returns the name in responses, logs and counts. */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
