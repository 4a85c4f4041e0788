package thistlefall.edge.http;

/** The end of a message, with the trailer fields of a chunked body. */
public record BodyEnd(HttpFields trailers) {
    /** An end without trailer fields. */
    public static final BodyEnd WITHOUT_TRAILERS = new BodyEnd(HttpFields.EMPTY);
}
