package thistlefall.edge.node;

import io.netty.buffer.ByteBuf;

/**
 * Received bytes that are kept in a buffer of their own. Keeping slices of the buffers that the socket was read into
 * would keep each of those whole, however few of its bytes are needed. Confined to an event loop; sizes are in bytes.
 */
final class GrowingBuffer {
    private final int expectedBytes;
    private ByteBuf content;

    /** Creates a buffer that grows up to {@code expectedBytes} without spare capacity; 0 if the size is not known. */
    GrowingBuffer(int expectedBytes) {
        this.expectedBytes = expectedBytes;
    }

    /** Returns the number of bytes kept. */
    int size() {
        return content == null ? 0 : content.readableBytes();
    }

    /** Returns the memory that the buffer takes. */
    int capacity() {
        return content == null ? 0 : content.capacity();
    }

    /** Returns how much memory the buffer needs in addition for further bytes. */
    int growthFor(int additionalBytes) {
        return requiredCapacity(additionalBytes) - capacity();
    }

    private int requiredCapacity(int additionalBytes) {
        int requiredBytes = size() + additionalBytes;
        if (requiredBytes <= capacity()) {
            return capacity();
        }
        int doubled = Math.max(requiredBytes, 2 * capacity());
        return expectedBytes >= requiredBytes ? Math.min(doubled, expectedBytes) : doubled;
    }

    /** Appends a copy of the bytes; the caller keeps the piece. */
    void append(ByteBuf piece) {
        int requiredCapacity = requiredCapacity(piece.readableBytes());
        if (content == null) {
            content = piece.alloc().ioBuffer(requiredCapacity);
        } else if (requiredCapacity > content.capacity()) {
            content.capacity(requiredCapacity);
        }
        content.writeBytes(piece, piece.readerIndex(), piece.readableBytes());
    }

    /** Returns a copy of the bytes that the caller releases; null if there are none. */
    ByteBuf copy() {
        return content == null ? null : content.copy();
    }

    /** Copies the bytes to {@code out}. */
    void copyTo(ByteBuf out) {
        if (content != null) {
            out.writeBytes(content, content.readerIndex(), content.readableBytes());
        }
    }

    /** Returns the bytes, which the caller releases, and empties the buffer; null if there are none. */
    ByteBuf take() {
        ByteBuf taken = content;
        content = null;
        return taken;
    }

    /** Empties the buffer and frees its memory. */
    void release() {
        if (content != null) {
            content.release();
            content = null;
        }
    }
}
