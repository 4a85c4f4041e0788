package thistlefall.edge.loop;

import io.netty.channel.EventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** The single event loop of a node, with a daemon thread of its own. Thread-safe. */
public final class NodeEventLoop {
    private final LoopUsage usage = new LoopUsage();
    private final MultiThreadIoEventLoopGroup group;

    /** Creates an event loop whose thread is named after the node. */
    public NodeEventLoop(String nodeName, IoHandlerFactory ioHandlerFactory) {
        group = new MultiThreadIoEventLoopGroup(
                1,
                new DefaultThreadFactory("thistlefall-" + nodeName, true),
                executor -> new MeasuredIoHandler(ioHandlerFactory.newHandler(executor), usage));
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
