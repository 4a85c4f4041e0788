package thistlefall.edge.loop;

import io.netty.channel.EventLoop;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.RejectedExecutionHandlers;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;

/**
 * The single event loop of a node, with a daemon thread of its own. After a bounded time with tasks it polls its
 * sockets again. Thread-safe.
 */
public final class NodeEventLoop {
    /** How long tasks may run before the sockets are polled again. Netty allows them a second by default. */
    private static final long MAX_TASK_MILLIS = 2;

    private final LoopUsage usage;
    private final MultiThreadIoEventLoopGroup group;
    private volatile MeasuredIoHandler ioHandler;

    /** A group whose single event loop polls its sockets again after {@link #MAX_TASK_MILLIS} with tasks. */
    private static final class BoundedTaskGroup extends MultiThreadIoEventLoopGroup {
        BoundedTaskGroup(ThreadFactory threadFactory, IoHandlerFactory ioHandlerFactory) {
            super(1, threadFactory, ioHandlerFactory);
        }

        @Override
        protected IoEventLoop newChild(Executor executor, IoHandlerFactory ioHandlerFactory, Object... arguments) {
            return new SingleThreadIoEventLoop(
                    this,
                    executor,
                    ioHandlerFactory,
                    Integer.MAX_VALUE,
                    RejectedExecutionHandlers.reject(),
                    MAX_TASK_MILLIS);
        }
    }

    /** Creates an event loop whose thread is named after the node; long passes are logged. */
    public NodeEventLoop(String nodeName, IoHandlerFactory ioHandlerFactory, Logger log) {
        usage = new LoopUsage(new LongPassLog(nodeName, log));
        group = new BoundedTaskGroup(new DefaultThreadFactory("thistlefall-" + nodeName, true), executor -> {
            ioHandler = new MeasuredIoHandler(ioHandlerFactory.newHandler(executor), usage);
            return ioHandler;
        });
    }

    /** Sets the work of which a part is done in each pass of the loop. Called on the event loop. */
    public void setPassWork(PassWork passWork) {
        ioHandler.setPassWork(passWork);
    }

    /**
     * Has something run once the sockets have been polled again. The system closes a socket only then, because the
     * selector holds it until its next poll. Called on the event loop.
     */
    public void runAfterNextPoll(Runnable action) {
        ioHandler.runAfterNextPoll(() -> loop().execute(action));
    }

    /** Returns the group that has this event loop only. */
    public MultiThreadIoEventLoopGroup group() {
        return group;
    }

    /** Returns the event loop as Netty knows it. */
    public EventLoop loop() {
        return group.next();
    }

    /** Returns what the event loop has spent its time on. */
    public LoopUsage usage() {
        return usage;
    }

    /** Ends the event loop after its pending tasks, within the given time. */
    public Future<?> shutdown(long timeoutMillis) {
        return group.shutdownGracefully(0, timeoutMillis, TimeUnit.MILLISECONDS);
    }
}
