package thistlefall.edge.counter;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelPipeline;
import thistlefall.Ports.Outcome;

/**
 * The wire protocol of a counter: one message for each call, and one {@link CounterReply} for each, in the order of the
 * calls.
 */
public interface CounterProtocol {
    /**
     * The counter's reply to a call.
     *
     * @param outcome OK with the total; FULL if nothing was added; TIMEOUT if it is unknown whether it was added
     * @param total the total, with OK
     * @param connectionBroken whether the connection must be closed
     */
    record CounterReply(Outcome outcome, double total, boolean connectionBroken) {
        /** Nothing was added. */
        public static final CounterReply NOTHING_ADDED = new CounterReply(Outcome.FULL, 0, false);
        /** The reply is invalid: the amount may have been added. */
        public static final CounterReply UNREADABLE = new CounterReply(Outcome.TIMEOUT, 0, true);

        /**
         * The amount was added, with this total. A total that is not a finite number makes the reply {@link
         * #UNREADABLE}.
         */
        public static CounterReply ofTotal(String text) {
            try {
                double total = Double.parseDouble(text);
                return Double.isFinite(total) ? new CounterReply(Outcome.OK, total, false) : UNREADABLE;
            } catch (NumberFormatException e) {
                return UNREADABLE;
            }
        }
    }

    /** Writes a call. The lifetime of a new name is in milliseconds and at least 1. */
    void writeCall(ByteBuf out, String name, double amount, long lifetime);

    /** Adds the handlers that decode replies to the pipeline of a new connection. */
    void addDecoders(ChannelPipeline pipeline);

    /** An amount as plain decimal text, rounded to six decimal places. */
    static String formatAmount(double amount) {
        return amount == Math.rint(amount) && Math.abs(amount) < 1e15
                ? Long.toString((long) amount)
                : new java.math.BigDecimal(amount)
                        .setScale(6, java.math.RoundingMode.HALF_EVEN)
                        .stripTrailingZeros()
                        .toPlainString();
    }
}
