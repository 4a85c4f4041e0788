package thistlefall.edge.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import thistlefall.attempt.End;
import thistlefall.edge.http.BodyEnd;
import thistlefall.edge.http.Head;
import thistlefall.edge.http.Malformed;
import thistlefall.edge.http.ResponseDecoder;

/** One connection to a server: carries one exchange after another, and is closed rather than shared by two. */
public final class ServerConnection extends ChannelInboundHandlerAdapter {
    private final ServerPool pool;
    private final Channel channel;
    private final ResponseDecoder decoder;
    private Exchanger user;
    private boolean requestWhole;
    private boolean answerWhole;
    private boolean keep;
    private boolean surplus;
    private boolean reading;
    private BodyEnd end;
    long idleSince;

    ServerConnection(ServerPool pool, Channel channel, ResponseDecoder decoder) {
        this.pool = pool;
        this.channel = channel;
        this.decoder = decoder;
    }

    /** Whether it is open, with nothing on its way: an answer nobody asked for, or an end, rules it out. */
    boolean fit() {
        return channel.isActive() && user == null;
    }

    /** The channel, for writing. */
    public Channel channel() {
        return channel;
    }

    /** Begins an exchange; the caller then writes. */
    void use(Exchanger exchanger, boolean headMethod) {
        user = exchanger;
        requestWhole = false;
        answerWhole = false;
        surplus = false;
        keep = true;
        end = null;
        decoder.expect(headMethod);
        channel.config().setAutoRead(true);
    }

    /** The whole request has been written. */
    public void requestWritten() {
        requestWhole = true;
        if (answerWhole && !reading) {
            finish();
        }
    }

    /** Stops or goes on reading the answer. */
    public void read(boolean on) {
        channel.config().setAutoRead(on);
    }

    /** Gives it back with nothing written to it. */
    public void unused() {
        user = null;
        pool.release(this);
    }

    /** Gives the exchange up; its user hears nothing more. The connection can't serve another. */
    public void abandon() {
        user = null;
        channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        reading = true;
        if (user == null) {
            // Bytes that no request asked for: whatever they are, the next answer would be mistaken.
            ReferenceCountUtil.release(message);
            channel.close();
            return;
        }
        if (answerWhole) {
            // More than belongs to the answer: that stands, but nothing else may come by this connection.
            ReferenceCountUtil.release(message);
            surplus = true;
            return;
        }
        if (message instanceof ByteBuf piece) {
            user.body(piece);
        } else if (message instanceof Head.Response head) {
            if (head.status() >= 200) {
                keep = head.keepAlive() && head.framing().kind() != thistlefall.edge.http.Framing.Kind.CLOSE;
                user.head(head);
            }
        } else if (message instanceof BodyEnd bodyEnd) {
            answerWhole = true;
            end = bodyEnd;
            if (!requestWhole) {
                // Answered before it had the whole request: the rest of that must not come before the next one.
                keep = false;
            }
        } else if (message instanceof Malformed) {
            lose(End.GARBLED);
        }
    }

    /** All that had come has been read: only now is it known whether more came than the answer. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        reading = false;
        if (user != null && answerWhole) {
            finish();
        }
    }

    private void finish() {
        Exchanger done = user;
        BodyEnd with = end;
        user = null;
        if (keep && requestWhole && !surplus && decoder.idle() && channel.isActive()) {
            pool.release(this);
        } else {
            channel.close();
        }
        if (done != null) {
            done.whole(with.trailers());
        }
    }

    private void lose(End how) {
        Exchanger lost = user;
        user = null;
        channel.close();
        if (lost != null) {
            lost.broken(how);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (user != null) {
            user.writable(channel.isWritable());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.closed(this);
        if (user != null && answerWhole) {
            finish();
        } else {
            lose(End.CLOSED);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        lose(End.CLOSED);
    }
}
