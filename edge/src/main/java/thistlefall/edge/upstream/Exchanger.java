package thistlefall.edge.upstream;

import io.netty.buffer.ByteBuf;
import thistlefall.attempt.End;
import thistlefall.edge.http.Fields;
import thistlefall.edge.http.Head;

/** Whoever uses a connection for one exchange. Called on the connection's event loop, and never after its end. */
public interface Exchanger {
    /** The head of the answer; interim ones are passed over before. */
    void head(Head.Response head);

    /** A piece of its body; the receiver releases it. */
    void body(ByteBuf piece);

    /** The answer is whole; the connection has been given back. */
    void whole(Fields trailers);

    /** The connection ended before the answer was whole. */
    void broken(End end);

    /** The connection takes more bytes, or does not for now. */
    void writable(boolean writable);
}
