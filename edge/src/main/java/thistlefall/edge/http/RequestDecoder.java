package thistlefall.edge.http;

import java.nio.charset.StandardCharsets;
import java.util.List;

/** Decodes the requests of a client, on the server side. */
public final class RequestDecoder extends MessageDecoder {
    private static final List<String> METHODS = List.of("GET", "POST", "PUT", "DELETE", "HEAD", "PATCH", "OPTIONS");

    /** A decoder for one connection. */
    public RequestDecoder(HttpLimits limits) {
        super(limits);
    }

    @Override
    MessageHead parseHead(HeadParser parser) throws MalformedMessageException {
        byte[] block = parser.block();
        int lineEnd = parser.firstLineEnd();
        int methodEnd = 0;
        while (methodEnd < lineEnd && CharacterClasses.isTokenCharacter(block[methodEnd])) {
            methodEnd++;
        }
        if (methodEnd == 0 || methodEnd == lineEnd || block[methodEnd] != ' ') {
            throw new MalformedMessageException(400, "the request line has no valid method");
        }
        String method = parseMethod(block, methodEnd);
        int targetStart = methodEnd + 1;
        int targetEnd = targetStart;
        while (targetEnd < lineEnd && CharacterClasses.isTargetCharacter(block[targetEnd])) {
            targetEnd++;
        }
        if (targetEnd == targetStart || targetEnd == lineEnd || block[targetEnd] != ' ') {
            throw new MalformedMessageException(400, "the request line has no valid target");
        }
        String target = new String(block, targetStart, targetEnd - targetStart, StandardCharsets.ISO_8859_1);
        int minorVersion = parseMinorVersion(block, targetEnd + 1, lineEnd);
        HttpFields fields = parser.parseFields();
        int hostLine = fields.find("host", 0);
        if (minorVersion >= 1 && hostLine < 0) {
            throw new MalformedMessageException(400, "there is no Host field");
        }
        if (hostLine >= 0 && fields.find("host", hostLine + 1) >= 0) {
            throw new MalformedMessageException(400, "there is more than one Host field");
        }
        if (target.charAt(0) != '/' && !target.equals("*")) {
            throw new MalformedMessageException(400, "the request target is not a path");
        }
        return new MessageHead.RequestHead(
                method, target, minorVersion, fields, Framing.ofRequest(minorVersion, fields, limits));
    }

    private static String parseMethod(byte[] block, int methodEnd) {
        next:
        for (String known : METHODS) {
            if (known.length() == methodEnd) {
                for (int i = 0; i < methodEnd; i++) {
                    if (block[i] != known.charAt(i)) {
                        continue next;
                    }
                }
                return known;
            }
        }
        return new String(block, 0, methodEnd, StandardCharsets.ISO_8859_1);
    }
}
