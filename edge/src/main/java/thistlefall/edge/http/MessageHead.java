package thistlefall.edge.http;

/** The head of a message, with the framing of the body as determined by its fields. */
public sealed interface MessageHead {
    /** The field lines. */
    HttpFields fields();

    /** How the body is framed. */
    Framing framing();

    /** The minor HTTP version: 0 or 1. */
    int minorVersion();

    /** Whether the connection persists after this message. */
    default boolean keepAlive() {
        if (fields().contains("connection")) {
            if (fields().containsListMember("connection", "close")) {
                return false;
            }
            if (minorVersion() == 0) {
                return fields().containsListMember("connection", "keep-alive");
            }
        }
        return minorVersion() >= 1;
    }

    /** The head of a request; the target is as received. */
    record RequestHead(String method, String target, int minorVersion, HttpFields fields, Framing framing)
            implements MessageHead {
        /** Whether the client waits for {@code 100 Continue} before sending the body. */
        public boolean expectsContinue() {
            return minorVersion >= 1 && framing.hasBody() && fields.containsListMember("expect", "100-continue");
        }

        /** The target without its query. */
        public String path() {
            int query = target.indexOf('?');
            return query < 0 ? target : target.substring(0, query);
        }
    }

    /** The head of a response. */
    record ResponseHead(int status, int minorVersion, HttpFields fields, Framing framing) implements MessageHead {}
}
