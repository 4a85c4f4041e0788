package thistlefall.edge.http;

/** Decodes the responses of a server, on the client side, for one request at a time. */
public final class ResponseDecoder extends MessageDecoder {
    private boolean bodyForbidden;

    /** A decoder for one connection. */
    public ResponseDecoder(HttpLimits limits) {
        super(limits);
    }

    /** Called for each request, before its response: a response to a HEAD request has no body. */
    public void expectResponse(boolean headRequest) {
        bodyForbidden = headRequest;
    }

    @Override
    boolean isInterim(MessageHead head) {
        int status = ((MessageHead.ResponseHead) head).status();
        return status >= 100 && status < 200;
    }

    @Override
    MessageHead parseHead(HeadParser parser) throws MalformedMessageException {
        byte[] block = parser.block();
        int lineEnd = parser.firstLineEnd();
        if (lineEnd < 12 || block[8] != ' ') {
            throw new MalformedMessageException(400, "the status line has no status");
        }
        int minorVersion = parseMinorVersion(block, 0, 8);
        if (!isDigit(block[9]) || !isDigit(block[10]) || !isDigit(block[11]) || lineEnd > 12 && block[12] != ' ') {
            throw new MalformedMessageException(400, "the status is not a number of three digits");
        }
        int status = (block[9] - '0') * 100 + (block[10] - '0') * 10 + block[11] - '0';
        if (status < 100 || status == 101) {
            throw new MalformedMessageException(400, "unexpected status " + status);
        }
        for (int i = 12; i < lineEnd; i++) {
            if (!CharacterClasses.isFieldValueCharacter(block[i])) {
                throw new MalformedMessageException(400, "the status line contains a control character");
            }
        }
        HttpFields fields = parser.parseFields();
        return new MessageHead.ResponseHead(
                status, minorVersion, fields, Framing.ofResponse(status, bodyForbidden, minorVersion, fields, limits));
    }
}
