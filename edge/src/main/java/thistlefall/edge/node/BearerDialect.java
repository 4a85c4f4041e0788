package thistlefall.edge.node;

import io.netty.buffer.ByteBuf;
import java.util.List;
import java.util.Set;
import thistlefall.attempt.ResponseClassification;
import thistlefall.edge.http.FieldNameSet;
import thistlefall.edge.http.HttpFields;
import thistlefall.edge.http.HttpWriter;
import thistlefall.edge.http.MessageHead;

/** The HTTP dialect of a node that authenticates clients by bearer tokens; see docs/edge.md. Stateless. */
final class BearerDialect implements Dialect {
    private static final FieldNameSet INTERNAL_FIELDS =
            HttpWriter.hopByHopNamesAnd("endpoint-load-metrics", "request-unseen");
    private static final int MAX_BUFFERED_RESPONSE_BYTES = 16 * 1024;

    @Override
    public boolean buffersRequests() {
        return false;
    }

    @Override
    public boolean allowsPipelining() {
        return true;
    }

    @Override
    public int maxBufferedResponse() {
        return MAX_BUFFERED_RESPONSE_BYTES;
    }

    @Override
    public void writeRequestFields(
            ByteBuf out,
            MessageHead.RequestHead request,
            int attemptNumber,
            String customerName,
            String nodeName,
            long timeout) {
        Set<String> connectionOptions = request.fields().connectionOptions();
        request.fields()
                .writeTo(
                        out,
                        name -> HttpWriter.isEndToEnd(name)
                                && !name.equals("authorization")
                                && !name.startsWith("request-attempt")
                                && !name.startsWith("request-customer")
                                && !connectionOptions.contains(name));
        HttpWriter.writeField(out, "Request-Attempt", Integer.toString(attemptNumber));
        HttpWriter.writeField(out, "Request-Customer", customerName);
        HttpWriter.writeField(out, "Via", "1.1 " + nodeName);
    }

    @Override
    public ResponseClassification classify(MessageHead.ResponseHead responseHead) {
        return ResponseClassification.ofStatus(
                responseHead.status(), "?1".equals(responseHead.fields().get("request-unseen")));
    }

    @Override
    public double trueUnits(HttpFields responseFields) {
        String text = responseFields.get("request-units");
        Double units = text == null ? null : LoadReport.parseNonNegative(text);
        return units == null ? 0 : units;
    }

    @Override
    public List<Double> parseLoadReport(HttpFields responseFields, List<String> names) {
        return LoadReport.parse(responseFields, names);
    }

    @Override
    public FieldNameSet internalFields() {
        return INTERNAL_FIELDS;
    }

    @Override
    public String formatRetryAfter(long delay) {
        return Long.toString((delay + 999_999_999) / 1_000_000_000);
    }
}
