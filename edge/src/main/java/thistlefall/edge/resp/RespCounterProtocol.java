package thistlefall.edge.resp;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import java.util.ArrayList;
import java.util.List;
import thistlefall.edge.counter.CounterProtocol;

/**
 * The counter protocol over RESP. A call adds and reads in one transaction ({@code MULTI, INCRBYFLOAT, PEXPIRE NX,
 * EXEC}), so that a new count also gets its expiry.
 */
public final class RespCounterProtocol implements CounterProtocol {
    private static final int REPLIES_PER_CALL = 4;

    @Override
    public void writeCall(ByteBuf out, String name, double amount, long lifetime) {
        RespWriter.writeCommand(out, "MULTI");
        RespWriter.writeCommand(out, "INCRBYFLOAT", name, CounterProtocol.formatAmount(amount));
        RespWriter.writeCommand(out, "PEXPIRE", name, Long.toString(lifetime), "NX");
        RespWriter.writeCommand(out, "EXEC");
    }

    @Override
    public void addDecoders(ChannelPipeline pipeline) {
        pipeline.addLast(new RespDecoder(), new TransactionReplyHandler());
    }

    /** Combines the four RESP replies of a call into one reply. */
    private static final class TransactionReplyHandler extends ChannelInboundHandlerAdapter {
        private final List<RespReply> replies = new ArrayList<>(REPLIES_PER_CALL);

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            replies.add((RespReply) message);
            if (replies.size() == REPLIES_PER_CALL) {
                RespReply execReply = replies.get(REPLIES_PER_CALL - 1);
                replies.clear();
                context.fireChannelRead(toCounterReply(execReply));
            }
        }
    }

    private static CounterReply toCounterReply(RespReply execReply) {
        RespReply result = execReply instanceof RespReply.Array array
                        && array.items() != null
                        && !array.items().isEmpty()
                ? array.items().get(0)
                : execReply;
        if (result instanceof RespReply.Error) {
            // The error is for the transaction or for its first command: nothing was added.
            return CounterReply.NOTHING_ADDED;
        }
        return result != execReply && result instanceof RespReply.Bulk bulk && bulk.bytes() != null
                ? CounterReply.ofTotal(bulk.text())
                : CounterReply.UNREADABLE;
    }
}
