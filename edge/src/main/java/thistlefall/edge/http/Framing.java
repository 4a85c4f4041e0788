package thistlefall.edge.http;

import java.util.List;

/**
 * How the end of a body is found (RFC 9112 section 6).
 *
 * @param kind how the end of the body is found
 * @param length bytes of the body, for {@link FramingKind#LENGTH}; otherwise 0 or -1
 */
public record Framing(FramingKind kind, long length) {
    /** The ways to find the end of a body. */
    public enum FramingKind {
        /** There is no body. */
        NONE,
        /** The body has the length in Content-Length. */
        LENGTH,
        /** The body is chunked. */
        CHUNKED,
        /** The body ends with the connection; responses only. */
        CLOSE
    }

    /** A message without a body. */
    public static final Framing NONE = new Framing(FramingKind.NONE, 0);
    /** A chunked body. */
    public static final Framing CHUNKED = new Framing(FramingKind.CHUNKED, -1);
    /** A body that ends with the connection. */
    public static final Framing CLOSE = new Framing(FramingKind.CLOSE, -1);

    /** Whether a body follows. */
    public boolean hasBody() {
        return kind != FramingKind.NONE;
    }

    /** The framing of a request. */
    static Framing ofRequest(int minorVersion, HttpFields fields, HttpLimits limits) throws MalformedMessageException {
        Framing framing = parseFields(minorVersion, fields, limits);
        return framing == null ? NONE : framing;
    }

    /** The framing of a response; {@code bodyForbidden} if its request was HEAD. */
    static Framing ofResponse(int status, boolean bodyForbidden, int minorVersion, HttpFields fields, HttpLimits limits)
            throws MalformedMessageException {
        if (bodyForbidden || status < 200 || status == 204 || status == 304) {
            return NONE;
        }
        Framing framing = parseFields(minorVersion, fields, limits);
        return framing == null ? CLOSE : framing;
    }

    private static Framing parseFields(int minorVersion, HttpFields fields, HttpLimits limits)
            throws MalformedMessageException {
        int contentLengthLine = fields.find("content-length", 0);
        int transferEncodingLine = fields.find("transfer-encoding", 0);
        if (transferEncodingLine >= 0) {
            return parseTransferEncoding(minorVersion, fields, contentLengthLine);
        }
        if (contentLengthLine < 0) {
            return null;
        }
        if (fields.find("content-length", contentLengthLine + 1) >= 0) {
            throw new MalformedMessageException(400, "there is more than one Content-Length");
        }
        long length = parseContentLength(fields.value(contentLengthLine));
        if (length > limits.maxBodyBytes()) {
            throw new MalformedMessageException(
                    413, "the body has " + length + " bytes; at most " + limits.maxBodyBytes() + " are allowed");
        }
        return length == 0 ? NONE : new Framing(FramingKind.LENGTH, length);
    }

    private static Framing parseTransferEncoding(int minorVersion, HttpFields fields, int contentLengthLine)
            throws MalformedMessageException {
        if (contentLengthLine >= 0) {
            throw new MalformedMessageException(400, "there are both Content-Length and Transfer-Encoding");
        }
        if (minorVersion == 0) {
            throw new MalformedMessageException(400, "Transfer-Encoding is not allowed in HTTP/1.0");
        }
        List<String> lines = fields.values("transfer-encoding");
        String[] codings = String.join(",", lines).split(",", -1);
        String lastCoding = codings[codings.length - 1].strip();
        if (!lastCoding.equalsIgnoreCase("chunked")) {
            throw new MalformedMessageException(400, "the last transfer coding is not chunked");
        }
        if (codings.length > 1) {
            for (int i = 0; i < codings.length - 1; i++) {
                if (codings[i].strip().equalsIgnoreCase("chunked")) {
                    throw new MalformedMessageException(400, "the chunked transfer coding occurs more than once");
                }
            }
            throw new MalformedMessageException(501, "transfer codings other than chunked are not supported");
        }
        return CHUNKED;
    }

    private static long parseContentLength(String text) throws MalformedMessageException {
        if (text.isEmpty() || text.length() > 18) {
            throw new MalformedMessageException(400, "Content-Length is not a number");
        }
        long value = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c < '0' || c > '9') {
                throw new MalformedMessageException(400, "Content-Length is not a number");
            }
            value = value * 10 + c - '0';
        }
        return value;
    }
}
