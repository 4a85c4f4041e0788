package thistlefall.edge.node;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.function.IntSupplier;

/**
 * The TCP connection of a client, which can be asked whether its socket holds unread input or the end of it. The event
 * loop reads sockets in turns, so the close of a client may lie in the kernel behind what it sent before, or because
 * the process was stopped. Used on its event loop only.
 */
final class ClientSocketChannel extends NioSocketChannel {
    /** What the socket holds that has not been read. */
    enum UnreadInput {
        /** Nothing: the client has not closed its side. */
        NONE,
        /** Bytes; whether an end follows them is unknown. */
        BYTES,
        /** The end of the input: the client has closed its side, or the connection is broken. */
        END
    }

    /** Accepts connections of clients, as many as the node may hold. */
    static final class Listener extends NioServerSocketChannel {
        private final IntSupplier capacity;

        Listener(IntSupplier capacity) {
            this.capacity = capacity;
        }

        /** Accepts connections without waiting for the next poll. */
        void acceptNow() {
            unsafe().read();
        }

        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            if (accepted.size() >= capacity.getAsInt()) {
                return 0;
            }
            SocketChannel socket = javaChannel().accept();
            if (socket == null) {
                return 0;
            }
            try {
                accepted.add(new ClientSocketChannel(this, socket));
                return 1;
            } catch (ChannelException e) {
                socket.close();
                throw e;
            }
        }
    }

    /** As long as the longest request. */
    static final int MAX_LOOK_AHEAD_BYTES = 64 * 1024;

    private final ByteBuffer byteReadAhead = ByteBuffer.allocate(1).limit(0);
    private Runnable byteReadAheadListener = () -> {};
    private int maxReadBytes = Integer.MAX_VALUE;
    /** What was read behind the byte read ahead, to see whether the end follows; null if nothing was. */
    private ByteBuf lookAhead;

    private ClientSocketChannel(Channel listener, SocketChannel socket) {
        super(listener, socket);
    }

    /**
     * Sets what is called when a byte has been read ahead. The listener has {@link #readByteReadAhead} called in a
     * later pass of the event loop, because the socket may hold no other byte that would have it polled.
     */
    void setByteReadAheadListener(Runnable listener) {
        byteReadAheadListener = listener;
    }

    /** Sets how much is read at once at the most, beside the size of the buffers. */
    void setMaxReadBytes(int newMaxReadBytes) {
        maxReadBytes = newMaxReadBytes;
    }

    /** Asks the socket of a client's connection; those of other transports never hold unread input. */
    static UnreadInput unreadInput(Channel channel) {
        return channel instanceof ClientSocketChannel socketChannel ? socketChannel.unreadInput() : UnreadInput.NONE;
    }

    /** One byte may be read ahead for the answer. It is read as usual soon, also if no other follows it. */
    private UnreadInput unreadInput() {
        if (hasReadAhead()) {
            return UnreadInput.BYTES;
        }
        int length;
        try {
            length = javaChannel().read(byteReadAhead.clear());
        } catch (IOException e) {
            length = -1;
        }
        byteReadAhead.flip();
        if (length > 0) {
            byteReadAheadListener.run();
        }
        return length > 0 ? UnreadInput.BYTES : length == 0 ? UnreadInput.NONE : UnreadInput.END;
    }

    /**
     * Reads on without decoding, up to {@link #MAX_LOOK_AHEAD_BYTES}, to see whether the client has closed behind what
     * it has sent. What was read is decoded later, as if it were read then.
     */
    UnreadInput lookAhead() {
        if (lookAhead != null) {
            return UnreadInput.BYTES;
        }
        lookAhead = alloc().directBuffer(MAX_LOOK_AHEAD_BYTES);
        int length;
        try {
            do {
                length = lookAhead.writeBytes(javaChannel(), lookAhead.writableBytes());
            } while (length > 0 && lookAhead.isWritable());
        } catch (IOException e) {
            length = -1;
        }
        releaseEmptyLookAhead();
        return length < 0 ? UnreadInput.END : hasReadAhead() ? UnreadInput.BYTES : UnreadInput.NONE;
    }

    /** Returns the memory that was taken to look ahead. */
    int lookAheadBytes() {
        return lookAhead == null ? 0 : lookAhead.capacity();
    }

    private boolean hasReadAhead() {
        return byteReadAhead.hasRemaining() || lookAhead != null;
    }

    private void releaseEmptyLookAhead() {
        if (lookAhead != null && !lookAhead.isReadable()) {
            lookAhead.release();
            lookAhead = null;
        }
    }

    @Override
    protected void doClose() throws Exception {
        if (lookAhead != null) {
            lookAhead.release();
            lookAhead = null;
        }
        super.doClose();
    }

    /** Reads what was read ahead as usual, with what follows it. */
    void readWhatWasReadAhead() {
        if (hasReadAhead() && isOpen() && config().isAutoRead()) {
            unsafe().read();
        }
    }

    /** Called when reading resumes after a pause. */
    @Override
    protected void doBeginRead() throws Exception {
        super.doBeginRead();
        if (hasReadAhead()) {
            byteReadAheadListener.run();
        }
    }

    @Override
    protected int doReadBytes(ByteBuf buffer) throws Exception {
        if (!byteReadAhead.hasRemaining()) {
            return readSocket(buffer);
        }
        buffer.writeBytes(byteReadAhead);
        return 1 + (buffer.isWritable() ? Math.max(0, readSocket(buffer)) : 0);
    }

    private int readSocket(ByteBuf buffer) throws IOException {
        int length = Math.min(buffer.writableBytes(), maxReadBytes);
        if (lookAhead != null) {
            int copied = Math.min(length, lookAhead.readableBytes());
            buffer.writeBytes(lookAhead, copied);
            releaseEmptyLookAhead();
            return copied;
        }
        unsafe().recvBufAllocHandle().attemptedBytesRead(length);
        return buffer.writeBytes(javaChannel(), length);
    }
}
