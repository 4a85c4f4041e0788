package thistlefall.edge.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests decoding of requests, and rejection of malformed, ambiguous and oversized ones, in one piece and in many. */
class RequestDecoderTest {
    private static final HttpLimits SMALL = new HttpLimits(200, 600, 8, 1000);

    /** The start of a request must not keep the whole buffer that the socket was read into. */
    @Test
    void incompleteRequestTakesOnlyItsOwnSize() {
        var decoder = new RequestDecoder(SMALL);
        var channel = new EmbeddedChannel(decoder);
        String start = "GET / HTTP/1.1\r\nHost: a";
        ByteBuf read = channel.alloc().buffer(64 * 1024);
        for (int i = 0; i < 1_000; i++) {
            read.writeCharSequence("GET / HTTP/1.1\r\nHost: a\r\n\r\n", StandardCharsets.US_ASCII);
        }
        read.writeCharSequence(start, StandardCharsets.US_ASCII);
        channel.writeInbound(read);
        assertTrue(decoder.undecodedBytes() <= 2 * start.length(), "takes " + decoder.undecodedBytes());
        channel.writeInbound(Unpooled.copiedBuffer("b\r\n\r\n", StandardCharsets.US_ASCII));
        assertEquals(0, decoder.undecodedBytes());
        assertEquals(2_002, channel.inboundMessages().size());
    }

    /** Decodes the text and describes each decoded message; a seed other than 0 splits the input into random pieces. */
    static List<String> decode(String text, HttpLimits limits, long seed) {
        var channel = new EmbeddedChannel(new RequestDecoder(limits));
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        var random = new SplittableRandom(seed);
        for (int position = 0; position < bytes.length; ) {
            int length = seed == 0 ? bytes.length : Math.min(bytes.length - position, 1 + random.nextInt(7));
            channel.writeInbound(Unpooled.copiedBuffer(bytes, position, length));
            position += length;
        }
        List<String> results = new ArrayList<>();
        StringBuilder body = new StringBuilder();
        for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
            if (message instanceof MessageHead.RequestHead head) {
                results.add(head.method() + " " + head.target() + " " + head.minorVersion() + " "
                        + head.framing().kind());
            } else if (message instanceof ByteBuf piece) {
                body.append(piece.toString(StandardCharsets.ISO_8859_1));
                piece.release();
            } else if (message instanceof BodyEnd end) {
                results.add("body[" + body + "]" + end.trailers());
                body.setLength(0);
            } else if (message instanceof MalformedMessageException malformed) {
                results.add("malformed " + malformed.status());
            }
        }
        channel.finishAndReleaseAll();
        return results;
    }

    private static void assertDecoded(String text, String... expected) {
        for (long seed = 0; seed < 30; seed++) {
            assertEquals(List.of(expected), decode(text, SMALL, seed), "seed " + seed + ": " + text);
        }
    }

    /** Requests that arrive in one piece must be separated at the right bytes. */
    @Test
    void pipelinedRequestsAreDecoded() {
        assertDecoded(
                "GET /a?b HTTP/1.1\r\nHost: x\r\n\r\nPOST /c HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
                        + "GET /d HTTP/1.0\r\n\r\n",
                "GET /a?b 1 NONE",
                "body[]",
                "POST /c 1 LENGTH",
                "body[abc]",
                "GET /d 0 NONE",
                "body[]");
    }

    /** Chunk extensions must not become part of the body, and trailers must be reported. */
    @Test
    void chunkedBodyWithTrailersAndExtensionsIsDecoded() {
        assertDecoded(
                "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "3;a=b\r\nabc\r\nA\r\n0123456789\r\n0\r\nSum: 7\r\n\r\n",
                "POST / 1 CHUNKED",
                "body[abc0123456789]Sum: 7\n");
    }

    /**
     * An empty line before a request, as some clients send after a body, must not fail it; a second one is rejected.
     */
    @Test
    void oneEmptyLineBeforeRequestIsSkippedButTwoAreRejected() {
        assertDecoded("\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n", "GET / 1 NONE", "body[]");
        assertDecoded("\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n", "malformed 400");
    }

    /** A request that another server could frame or interpret differently allows request smuggling. */
    @Test
    void ambiguousRequestsAreRejected() {
        String head = "POST / HTTP/1.1\r\nHost: x\r\n";
        for (String bad : List.of(
                "Content-Length: 3\r\nTransfer-Encoding: chunked",
                "Content-Length: 3\r\nContent-Length: 3",
                "Content-Length: 3, 3",
                "Content-Length: +3",
                "Content-Length: -3",
                "Content-Length: 0x3",
                "Content-Length: ",
                "Content-Length: 3 3",
                "Content-Length: 9999999999999999999",
                "X: a\r\n b",
                "X : a",
                " X: a",
                ": a",
                "X",
                "X: a\rb",
                "X: a\u0000b",
                "X: a\u007fb",
                "X\u0080: a",
                "Transfer-Encoding: gzip",
                "Transfer-Encoding: identity",
                "Transfer-Encoding: chunked, gzip",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: chunked, chunked",
                "Transfer-Encoding: xchunked",
                "Transfer-Encoding: chunked;q=1",
                "Host: y")) {
            assertDecoded(head + bad + "\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "malformed 400");
        }
        assertDecoded(head + "Transfer-Encoding: gzip, chunked\r\n\r\n", "malformed 501");
        assertDecoded("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", "malformed 400");
        assertDecoded("GET / HTTP/1.1\r\n\r\n", "malformed 400");
        assertDecoded("GET  / HTTP/1.1\r\nHost: x\r\n\r\n", "malformed 400");
        assertDecoded("GET / HTTP/1.1 \r\nHost: x\r\n\r\n", "malformed 400");
        assertDecoded("GET / http/1.1\r\nHost: x\r\n\r\n", "malformed 400");
        assertDecoded("GET / HTTP/2.0\r\nHost: x\r\n\r\n", "malformed 505");
        assertDecoded("GET x HTTP/1.1\r\nHost: x\r\n\r\n", "malformed 400");
        assertDecoded("GET /\u00e9 HTTP/1.1\r\nHost: x\r\n\r\n", "malformed 400");
        assertDecoded("GET / HTTP/1.1\nHost: x\n\n", "malformed 400");
        assertDecoded("GET / HTTP/1.1\r\nHost: x\n\r\n", "malformed 400");
    }

    /** A chunk whose size or end is unclear must be rejected at that point, not at the end of the body. */
    @Test
    void malformedChunksAreRejected() {
        String head = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (String bad : List.of(
                "g\r\n",
                "-1\r\n",
                "+1\r\n",
                " 1\r\na",
                "1 1\r\n",
                "\r\n",
                "1\na",
                "1;a\u0000\r\n",
                "0x1\r\n",
                "1234567890123456\r\n",
                "1\r\nabc",
                "0\r\nX : a\r\n\r\n",
                "0\r\nX: a\n\r\n")) {
            for (long seed = 0; seed < 10; seed++) {
                List<String> results = decode(head + bad, SMALL, seed);
                assertEquals("malformed 400", results.get(results.size() - 1), bad);
            }
        }
    }

    /** A client that never ends a line, head or body must not make the decoder buffer without limit. */
    @Test
    void limitsApplyBeforeLineOrHeadIsComplete() {
        assertDecoded("GET /" + "a".repeat(300), "malformed 414");
        assertDecoded("GET / HTTP/1.1\r\nHost: x\r\nX: " + "a".repeat(300), "malformed 431");
        assertDecoded("GET / HTTP/1.1\r\nHost: x\r\n" + "X: a\r\n".repeat(8), "malformed 431");
        assertDecoded("GET / HTTP/1.1\r\nHost: x\r\n" + ("X: " + "a".repeat(150) + "\r\n").repeat(4), "malformed 431");
        assertDecoded("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n", "malformed 413");
        String chunks = "3e8\r\n" + "a".repeat(1000) + "\r\n1\r\n";
        List<String> results =
                decode("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, SMALL, 0);
        assertEquals("malformed 413", results.get(results.size() - 1));
    }

    /** The bytes after a malformed request may be its body; as a request they would be smuggled in. */
    @Test
    void nothingIsDecodedAfterMalformedRequest() {
        assertDecoded("GET / HTTP/1.1\r\nHost : x\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n", "malformed 400");
    }

    /** A connection must be kept or closed as the version and the Connection field say, ignoring case. */
    @Test
    void connectionFieldDecidesKeepAlive() {
        assertTrue(decodeHead("GET / HTTP/1.1\r\nHost: x\r\n\r\n").keepAlive());
        assertFalse(decodeHead("GET / HTTP/1.1\r\nHost: x\r\nConnection: foo, Close\r\n\r\n")
                .keepAlive());
        assertFalse(decodeHead("GET / HTTP/1.0\r\n\r\n").keepAlive());
        assertTrue(
                decodeHead("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n").keepAlive());
    }

    private static MessageHead.RequestHead decodeHead(String text) {
        var channel = new EmbeddedChannel(new RequestDecoder(SMALL));
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        return assertInstanceOf(MessageHead.RequestHead.class, channel.readInbound());
    }

    /** The result must not depend on how TCP splits the bytes, and no input may make the decoder throw. */
    @Test
    void mutatedInputIsDecodedTheSameHoweverItIsSplit() {
        String text = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcPOST /b HTTP/1.1\r\nHost: x\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
        String alphabet = "\r\n :;,0123abcXHTP/\u0000\t+-";
        var random = new SplittableRandom(29);
        for (int i = 0; i < 20_000; i++) {
            StringBuilder mutated = new StringBuilder(text);
            for (int remainingMutations = random.nextInt(3); remainingMutations >= 0; remainingMutations--) {
                int position = random.nextInt(mutated.length());
                char character = alphabet.charAt(random.nextInt(alphabet.length()));
                switch (random.nextInt(3)) {
                    case 0 -> mutated.setCharAt(position, character);
                    case 1 -> mutated.insert(position, character);
                    default -> mutated.deleteCharAt(position);
                }
            }
            String input = mutated.toString();
            assertEquals(decode(input, SMALL, 0), decode(input, SMALL, 1 + i), "mutation " + i + ": " + input);
        }
    }
}
