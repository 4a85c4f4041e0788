package thistlefall.edge.loop;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import java.util.ArrayList;
import java.util.List;
import thistlefall.edge.loop.LoopUsage.Work;

/**
 * Measures the passes of an event loop around another I/O handler, and does a part of some {@link PassWork} in each
 * pass. Used on the event loop, except {@link #wakeup}.
 */
final class MeasuredIoHandler implements IoHandler {
    /** After so long with sockets others have become ready, and due timers would take that for silence. */
    private static final long MAX_SOCKET_TIME = 10_000_000L;

    private final IoHandler delegate;
    private final LoopUsage usage;
    private final MeasuredContext measuredContext = new MeasuredContext();
    private final List<Runnable> afterPoll = new ArrayList<>();
    private PassWork passWork;
    private long finishedAt;

    MeasuredIoHandler(IoHandler delegate, LoopUsage usage) {
        this.delegate = delegate;
        this.usage = usage;
    }

    /** Passes on the context of the event loop and takes the time that the handler reports as spent on sockets. */
    private final class MeasuredContext implements IoHandlerContext {
        private IoHandlerContext context;
        private boolean blocking;

        @Override
        public boolean canBlock() {
            return blocking && context.canBlock() && !hasPassWork() && afterPoll.isEmpty();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return context.delayNanos(currentTimeNanos);
        }

        @Override
        public long deadlineNanos() {
            return context.deadlineNanos();
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return true;
        }

        @Override
        public void reportActiveIoTime(long activeNanos) {
            usage.add(Work.SOCKETS, activeNanos);
            if (context.shouldReportActiveIoTime()) {
                context.reportActiveIoTime(activeNanos);
            }
        }
    }

    /** Sets the work of which a part is done in each pass. */
    void setPassWork(PassWork newPassWork) {
        passWork = newPassWork;
    }

    /** Has something run once the sockets have been polled; the next poll does not wait. */
    void runAfterNextPoll(Runnable action) {
        afterPoll.add(action);
    }

    private void runActionsAfterPoll(int count) {
        List<Runnable> actions = List.copyOf(afterPoll.subList(0, count));
        afterPoll.subList(0, count).clear();
        actions.forEach(Runnable::run);
    }

    private boolean hasPassWork() {
        return passWork != null && passWork.hasMore();
    }

    @Override
    public void initialize() {
        finishedAt = System.nanoTime();
        delegate.initialize();
    }

    @Override
    public int run(IoHandlerContext context) {
        long startedAt = System.nanoTime();
        usage.add(Work.TASKS, startedAt - finishedAt);
        if (hasPassWork()) {
            passWork.runPart();
            usage.add(Work.WAITING_INPUT, System.nanoTime() - startedAt);
        }
        usage.endPass();
        measuredContext.context = context;
        int actionsBeforePoll = afterPoll.size();
        measuredContext.blocking = true;
        int handled = delegate.run(measuredContext);
        if (usage.inCurrentPass(Work.SOCKETS) > MAX_SOCKET_TIME) {
            measuredContext.blocking = false;
            handled += delegate.run(measuredContext);
        }
        if (actionsBeforePoll > 0) {
            runActionsAfterPoll(actionsBeforePoll);
        }
        finishedAt = System.nanoTime();
        return handled;
    }

    @Override
    public void prepareToDestroy() {
        delegate.prepareToDestroy();
    }

    @Override
    public void destroy() {
        delegate.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return delegate.register(handle);
    }

    @Override
    public void wakeup() {
        delegate.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
        return delegate.isCompatible(handleType);
    }
}
