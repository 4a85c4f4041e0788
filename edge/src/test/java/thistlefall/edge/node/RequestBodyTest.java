package thistlefall.edge.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import thistlefall.edge.http.Framing;
import thistlefall.memory.MemoryBudget;

class RequestBodyTest {
    private static final int REPLAY_LIMIT = 65_537;

    private static RequestBody body(Framing framing, long budgetBytes) {
        return new RequestBody(framing, REPLAY_LIMIT, new MemoryBudget(budgetBytes).openAccount());
    }

    private static Framing length(int bytes) {
        return new Framing(Framing.FramingKind.LENGTH, bytes);
    }

    /** A few bytes of a body must not keep the buffer of 64 KiB that they were read into. */
    @Test
    void bufferThatTheSocketWasReadIntoIsNotKept() {
        ByteBuf read = Unpooled.directBuffer(64 * 1024).writeZero(64 * 1024);
        RequestBody body = body(length(10), 1 << 20);
        assertTrue(body.add(read.readRetainedSlice(10)));
        read.release();
        assertEquals(0, read.refCnt());
        assertEquals(10, body.heldBytes());
        body.release();
        assertEquals(0, body.heldBytes());
    }

    /** Whatever the pieces of a body, its bytes stay in order and its buffer takes at most twice their size. */
    @Test
    void bodyInPiecesIsKeptInOrderAndAtMostTwiceItsSize() {
        var random = new SplittableRandom(3);
        for (int run = 0; run < 200; run++) {
            boolean lengthKnown = random.nextBoolean();
            byte[] bytes = new byte[random.nextInt(1, 20_000)];
            random.nextBytes(bytes);
            RequestBody body = body(lengthKnown ? length(bytes.length) : Framing.CHUNKED, 1 << 20);
            for (int from = 0; from < bytes.length; ) {
                int to = Math.min(bytes.length, from + random.nextInt(1, 3_000));
                assertTrue(body.add(Unpooled.copiedBuffer(bytes, from, to - from)));
                from = to;
            }
            ByteBuf copy = Unpooled.buffer();
            body.copyTo(copy);
            assertEquals(Unpooled.wrappedBuffer(bytes), copy);
            assertTrue(body.heldBytes() <= (lengthKnown ? 1 : 2) * bytes.length, body.heldBytes() + " bytes held");
            body.release();
        }
    }

    @Test
    void bodyBeyondTheMemoryOfItsConnectionIsNotKept() {
        MemoryBudget.Account memory = new MemoryBudget(160_000).openAccount();
        var body = new RequestBody(length(20_000), REPLAY_LIMIT, memory);
        assertTrue(body.add(Unpooled.buffer().writeZero(10_000)));
        memory.setHeld(body.heldBytes());
        ByteBuf piece = Unpooled.buffer().writeZero(10_000);
        assertFalse(body.add(piece));
        assertEquals(0, piece.refCnt());
        body.release();
    }
}
