package thistlefall.edge.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

class MeasuredIoHandlerTest {
    private static final long MILLION = 1_000_000L;

    private final List<String> steps = new ArrayList<>();
    private final List<Long> activeTimes = new ArrayList<>();
    private final MeasuredIoHandler handler = new MeasuredIoHandler(
            new ScriptedIoHandler(), new LoopUsage(new LongPassLog("n0", LoggerFactory.getLogger("test"))));

    /** Notes whether it may block, and reports the next of the scripted times as spent on sockets. */
    private final class ScriptedIoHandler implements IoHandler {
        @Override
        public int run(IoHandlerContext context) {
            steps.add(context.canBlock() ? "blocking poll" : "poll");
            context.reportActiveIoTime(activeTimes.isEmpty() ? 0 : activeTimes.remove(0));
            return 1;
        }

        @Override
        public IoRegistration register(IoHandle handle) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void wakeup() {}

        @Override
        public boolean isCompatible(Class<? extends IoHandle> handleType) {
            return true;
        }
    }

    private void runPass() {
        handler.run(new IoHandlerContext() {
            @Override
            public boolean canBlock() {
                return true;
            }

            @Override
            public long delayNanos(long currentTimeNanos) {
                return 0;
            }

            @Override
            public long deadlineNanos() {
                return -1;
            }
        });
    }

    /** Guards against timers that time out what has arrived while the process was held up among its sockets. */
    @Test
    void socketsArePolledAgainAfterALongTimeWithThem() {
        activeTimes.add(200 * MILLION);
        runPass();
        runPass();
        assertEquals(List.of("blocking poll", "poll", "blocking poll"), steps);
    }

    /** What waits has a part of each pass, and no poll waits for sockets meanwhile. */
    @Test
    void passWorkIsDoneOncePerPassWithoutBlocking() {
        handler.setPassWork(new PassWork() {
            private int partsLeft = 2;

            @Override
            public boolean hasMore() {
                return partsLeft > 0;
            }

            @Override
            public void runPart() {
                partsLeft--;
                steps.add("part");
            }
        });
        runPass();
        runPass();
        runPass();
        assertEquals(List.of("part", "poll", "part", "blocking poll", "blocking poll"), steps);
    }

    @Test
    void actionRunsAfterThePollThatFollowsIt() {
        handler.runAfterNextPoll(() -> steps.add("action"));
        runPass();
        assertEquals(List.of("poll", "action"), steps);
    }
}
