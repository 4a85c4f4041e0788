package thistlefall.edge.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import thistlefall.edge.http.Framing;
import thistlefall.edge.http.HttpFields;
import thistlefall.edge.http.HttpWriter;
import thistlefall.edge.http.MessageHead;

/** Encodes the responses of one client connection, one after another. Confined to the node's event loop. */
final class ResponseEncoder {
    private final Dialect dialect;
    /** The framing in which the present response is forwarded; null if it has no body. */
    private Framing framing;

    private boolean chunked;

    ResponseEncoder(Dialect dialect) {
        this.dialect = dialect;
    }

    /** Encodes a response that the node has made itself. */
    ByteBuf encodeProblem(ByteBufAllocator allocator, ProblemDetails problem, boolean headOnly, boolean close) {
        byte[] body = problem.body();
        ByteBuf out = HttpWriter.beginResponse(allocator, problem.status());
        HttpWriter.writeField(out, "Content-Type", "application/problem+json");
        if (problem.retryAfter() > 0) {
            HttpWriter.writeField(out, "Retry-After", dialect.formatRetryAfter(problem.retryAfter()));
        }
        if (problem.wwwAuthenticate() != null) {
            HttpWriter.writeField(out, "WWW-Authenticate", problem.wwwAuthenticate());
        }
        HttpWriter.writeContentLength(out, body.length);
        if (close) {
            HttpWriter.writeConnectionClose(out);
        }
        HttpWriter.endHead(out);
        if (!headOnly) {
            out.writeBytes(body);
        }
        return out;
    }

    /**
     * Chooses the framing in which a server's response is forwarded to a client; returns whether the end of the
     * connection has to mark its end.
     */
    boolean beginForwarding(MessageHead.RequestHead request, MessageHead.ResponseHead response) {
        boolean noBody = request.method().equals("HEAD") || response.status() == 204 || response.status() == 304;
        boolean lengthUnknown = response.framing().kind() == Framing.FramingKind.CHUNKED
                || response.framing().kind() == Framing.FramingKind.CLOSE;
        boolean clientKnowsChunks = request.minorVersion() >= 1;
        chunked = !noBody && lengthUnknown && clientKnowsChunks;
        boolean endsWithConnection = !noBody && lengthUnknown && !clientKnowsChunks;
        framing = noBody || endsWithConnection ? null : chunked ? Framing.CHUNKED : response.framing();
        return endsWithConnection;
    }

    /** Encodes the head of the response that is being forwarded. */
    ByteBuf encodeHead(ByteBufAllocator allocator, MessageHead.ResponseHead response, boolean close) {
        ByteBuf out = HttpWriter.beginResponse(allocator, response.status());
        response.fields()
                .writeExcept(out, dialect.internalFields(), response.fields().connectionOptions());
        if (framing != null) {
            HttpWriter.writeFraming(out, framing, !chunked);
        }
        if (close) {
            HttpWriter.writeConnectionClose(out);
        }
        return HttpWriter.endHead(out);
    }

    /** Writes a piece of the response that is being forwarded. */
    void writePiece(Channel channel, ByteBuf piece) {
        HttpWriter.writeBodyPiece(channel, piece, chunked);
    }

    /** Writes the end of the response that is being forwarded. */
    void writeEnd(Channel channel, HttpFields trailers) {
        if (chunked) {
            channel.write(HttpWriter.createLastChunk(channel.alloc(), trailers));
        }
        channel.flush();
    }
}
