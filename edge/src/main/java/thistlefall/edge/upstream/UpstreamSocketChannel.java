package thistlefall.edge.upstream;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A TCP connection that can be asked whether input waits in its socket. The event loop reads a socket only when it next
 * polls, so after a stall of the process the bytes received in the meantime are unknown to the handlers. Used on its
 * event loop only.
 */
public final class UpstreamSocketChannel extends NioSocketChannel {
    private final ByteBuffer probe = ByteBuffer.allocate(1);

    /** A channel that is not connected yet. */
    public UpstreamSocketChannel() {}

    /**
     * Returns whether the socket holds unread bytes, or an end or error of the stream. One byte is consumed if there is
     * any, so the caller must close the channel if this returns true. False for channels of other types.
     */
    static boolean consumesUnreadInput(Channel channel) {
        return channel instanceof UpstreamSocketChannel socketChannel && socketChannel.consumesInput();
    }

    private boolean consumesInput() {
        try {
            return javaChannel().read(probe.clear()) != 0;
        } catch (IOException e) {
            return true;
        }
    }
}
