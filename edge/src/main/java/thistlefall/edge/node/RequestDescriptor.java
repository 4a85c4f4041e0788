package thistlefall.edge.node;

import thistlefall.edge.http.MalformedMessageException;
import thistlefall.edge.http.MessageHead;

/**
 * What a request asks for and on whose behalf, as determined before it is submitted to the decision module. Immutable.
 *
 * @param requestClass the index of the class in the settings
 * @param className the name of the class, for the log
 * @param plan the index of the customer's plan in the settings
 * @param customer the customer's number
 * @param units the units that the request takes from the quota, possibly an estimate
 * @param gatewaySetSize the number of nodes that this customer's requests go through
 * @param firstGateway the number of the first of these nodes
 * @param repeat whether the client marked the request as a repeat
 */
public record RequestDescriptor(
        int requestClass,
        String className,
        int plan,
        long customer,
        double units,
        int gatewaySetSize,
        int firstGateway,
        boolean retry) {
    /** Parses requests that carry all these properties themselves. Called on the node's event loop. */
    public interface RequestParser {
        /**
         * Parses the head of a request.
         *
         * @throws MalformedMessageException if a required value is missing, unreadable or out of range
         */
        RequestDescriptor parse(MessageHead.RequestHead head) throws MalformedMessageException;

        /** Returns the id that the client gave the request; no two open requests may have the same id. */
        String clientRequestId(MessageHead.RequestHead head) throws MalformedMessageException;

        /** Returns how long the client waits, in nanoseconds from the request's last byte. */
        long clientTimeout(MessageHead.RequestHead head) throws MalformedMessageException;

        /** Whether the request is a readiness check of the node itself. */
        boolean isReadinessCheck(MessageHead.RequestHead head);
    }
}
