package thistlefall.edge.http;

/** The end of a message, with the trailers of a chunked body. */
public record BodyEnd(Fields trailers) {
    /** An end without trailers. */
    public static final BodyEnd PLAIN = new BodyEnd(Fields.NONE);
}
