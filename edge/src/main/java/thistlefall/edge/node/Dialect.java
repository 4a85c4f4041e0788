package thistlefall.edge.node;

import io.netty.buffer.ByteBuf;
import java.util.List;
import thistlefall.attempt.ResponseClassification;
import thistlefall.edge.http.FieldNameSet;
import thistlefall.edge.http.HttpFields;
import thistlefall.edge.http.MessageHead;

/**
 * The HTTP conventions in which platforms differ: which fields carry which values to clients and servers, and what a
 * response says about its request. A dialect only reads and writes messages and makes no decisions. Called on the
 * node's event loop.
 */
public interface Dialect {
    /**
     * Whether a request is processed only once it is complete and is sent to the server as a whole, so that the server
     * cannot start it before its last byte. Otherwise bodies are streamed, and the server may have started the request
     * as soon as the first byte is written.
     */
    boolean buffersRequests();

    /**
     * Whether clients may send further requests before the response to the first. If so, reading pauses while too many
     * are pending. Otherwise reading never pauses, so that the end of a connection is always noticed, and surplus
     * requests are refused.
     */
    boolean allowsPipelining();

    /**
     * Responses of up to this many bytes are forwarded only once they are complete, so that the request can be retried
     * if the response breaks off.
     */
    int maxBufferedResponse();

    /**
     * Writes the header fields of an attempt, except those for its framing.
     *
     * @param attemptNumber the number of the attempt, from 0
     * @param customerName the customer's name; null if it is not known
     * @param nodeName this node's name
     * @param timeout how long the node will wait for the response, in nanoseconds
     */
    void writeRequestFields(
            ByteBuf out,
            MessageHead.RequestHead request,
            int attemptNumber,
            String customerName,
            String nodeName,
            long timeout);

    /** Classifies what a server's response says about the request. */
    ResponseClassification classify(MessageHead.ResponseHead responseHead);

    /** Returns the units that replace the estimate of the request's cost; 0 if the response does not say. */
    double trueUnits(HttpFields responseFields);

    /** Returns these values of the response's load report in order; empty if one is missing or not readable. */
    List<Double> parseLoadReport(HttpFields responseFields, List<String> names);

    /** Returns the response fields that are not forwarded to clients, hop-by-hop fields included. */
    FieldNameSet internalFields();

    /** Formats the value of {@code Retry-After} for a delay in nanoseconds. */
    String formatRetryAfter(long delay);
}
