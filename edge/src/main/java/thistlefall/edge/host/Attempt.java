package thistlefall.edge.host;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import thistlefall.Ports.Outcome;
import thistlefall.attempt.End;
import thistlefall.attempt.Progress;
import thistlefall.attempt.Proof;
import thistlefall.edge.http.Fields;
import thistlefall.edge.http.Framing;
import thistlefall.edge.http.Head;
import thistlefall.edge.http.HttpWriter;
import thistlefall.edge.upstream.Exchanger;
import thistlefall.edge.upstream.ServerConnection;
import thistlefall.edge.upstream.ServerPool;
import thistlefall.wheel.DeadlineWheel;

/**
 * One attempt at a server. It notes how far it got, passes a good answer on to the client as it comes, keeps a bad
 * one back for the module to decide on, and reports its end exactly once.
 */
final class Attempt implements Exchanger, ServerPool.Taker, RequestBody.Sink {
    /** What the host learns of an attempt's end. */
    record Ended(Outcome outcome, long took, double trueUnits, List<Double> report) {
    }

    private static final long ANSWER_STALL = 30_000_000_000L;
    /** Answers up to this size are passed on when they are whole: one that breaks off may still be tried again. */
    private static final long HELD_WHOLE = 16 * 1024;

    private final Carrier carrier;
    private final Exchange exchange;
    private final String server;
    private final int number;
    private final long started = System.nanoTime();
    private Progress progress = Progress.WAITING;
    private ServerConnection connection;
    private Head.Response head;
    private final List<ByteBuf> held = new ArrayList<>(2);
    private boolean holding;
    private boolean passing;
    private boolean paused;
    private boolean over;
    private boolean reported;
    private DeadlineWheel.Entry<Runnable> timer;

    Attempt(Carrier carrier, Exchange exchange, String server, int number) {
        this.carrier = carrier;
        this.exchange = exchange;
        this.server = server;
        this.number = number;
    }

    String server() {
        return server;
    }

    int number() {
        return number;
    }

    void start(ServerPool pool, long patience) {
        timer = carrier.timers().after(patience, () -> end(End.OVERDUE));
        if (number == 0) {
            exchange.client.goOn(exchange);
        }
        pool.take(this, exchange.head.method().equals("HEAD"), this);
    }

    @Override
    public void ready(ServerConnection ready) {
        if (over) {
            ready.abandon();
            return;
        }
        connection = ready;
        progress = Progress.CONNECTED;
        Head.Request request = exchange.head;
        Channel channel = ready.channel();
        ByteBuf out = HttpWriter.request(channel.alloc(), request.method(), request.target());
        Set<String> nominated = ClientConnection.nominated(request.fields());
        request.fields().writeTo(out, name -> HttpWriter.endToEnd(name) && !name.equals("authorization")
            && !name.startsWith("request-attempt") && !name.startsWith("request-customer")
            && (nominated == null || !nominated.contains(name)));
        HttpWriter.field(out, "Request-Attempt", Integer.toString(number));
        HttpWriter.field(out, "Request-Customer", exchange.customer);
        HttpWriter.field(out, "Via", "1.1 " + carrier.node());
        HttpWriter.framing(out, request.framing(), !request.method().equals("GET") && !request.method().equals("HEAD"));
        HttpWriter.end(out);
        // From the first byte on nothing proves any more that it did not run.
        progress = Progress.WRITTEN;
        channel.write(out, channel.voidPromise());
        exchange.body.attach(this);
        channel.flush();
        exchange.client.updateRead();
    }

    @Override
    public void none(End why) {
        end(why);
    }

    @Override
    public void piece(ByteBuf piece) {
        if (connection == null) {
            // The connection broke under what was written just now.
            piece.release();
            return;
        }
        HttpWriter.piece(connection.channel(), piece, exchange.head.framing().kind() == Framing.Kind.CHUNKED);
    }

    @Override
    public void end(Fields trailers) {
        // Writing may break the connection, and this attempt with it.
        ServerConnection to = connection;
        if (to == null) {
            return;
        }
        Channel channel = to.channel();
        if (exchange.head.framing().kind() == Framing.Kind.CHUNKED) {
            channel.write(HttpWriter.lastChunk(channel.alloc(), trailers));
        }
        channel.flush();
        to.requestWritten();
    }

    @Override
    public boolean writable() {
        return connection != null && connection.channel().isWritable();
    }

    @Override
    public void writable(boolean writable) {
        exchange.client.updateRead();
    }

    @Override
    public void head(Head.Response came) {
        head = came;
        progress = Progress.ANSWERED;
        if (came.status() >= 500 || unseen()) {
            return;
        }
        Framing framing = came.framing();
        holding = framing.kind() == Framing.Kind.NONE
            || framing.kind() == Framing.Kind.LENGTH && framing.length() <= HELD_WHOLE;
        if (!holding) {
            pass();
        }
    }

    private void pass() {
        if (carrier.answered(exchange)) {
            passing = true;
            carrier.timers().cancel(timer);
            // An answer that has begun is bound by no deadline, but must go on.
            timer = carrier.timers().after(ANSWER_STALL, () -> end(End.CLOSED));
            exchange.client.begin(exchange, head);
        }
    }

    @Override
    public void body(ByteBuf piece) {
        if (holding) {
            held.add(piece);
        } else if (!passing) {
            piece.release();
        } else if (!exchange.client.piece(piece) && !paused) {
            paused = true;
            connection.read(false);
            // The client is slow, not the server: the module is told what the server took.
            report(Outcome.OK);
        }
    }

    /** The client takes more. */
    void clientReady() {
        if (paused && connection != null) {
            paused = false;
            connection.read(true);
        }
    }

    @Override
    public void whole(Fields trailers) {
        connection = null;
        progress = Progress.COMPLETE;
        if (holding) {
            pass();
        }
        if (passing) {
            held.forEach(exchange.client::piece);
            held.clear();
            exchange.client.end(exchange, trailers);
        }
        end(End.ANSWER);
    }

    @Override
    public void broken(End how) {
        connection = null;
        end(how);
    }

    /** The client has left: what has not been written is withdrawn, what runs is left to its end. */
    void clientGone() {
        if (passing || progress.compareTo(Progress.WRITTEN) < 0 || !exchange.body.whole()) {
            end(End.WITHDRAWN);
        }
    }

    private boolean unseen() {
        return head != null && "?1".equals(head.fields().get("request-unseen"));
    }

    private double trueUnits() {
        String text = head == null ? null : head.fields().get("request-units");
        Double units = text == null ? null : LoadReport.number(text);
        return units == null ? 0 : units;
    }

    /** The attempt is over; only the first call counts. */
    void end(End how) {
        if (over) {
            return;
        }
        over = true;
        held.forEach(ByteBuf::release);
        held.clear();
        carrier.timers().cancel(timer);
        exchange.body.detach();
        if (connection != null) {
            connection.abandon();
            connection = null;
        }
        if (passing && progress != Progress.COMPLETE) {
            exchange.client.abort(exchange);
        }
        report(Proof.of(progress, how, head == null ? 0 : head.status(), unseen()));
    }

    private void report(Outcome outcome) {
        if (reported) {
            return;
        }
        reported = true;
        List<Double> load = head == null ? List.of() : carrier.loadReport(head.fields());
        carrier.attemptEnded(exchange, this, new Ended(outcome, System.nanoTime() - started, trueUnits(), load));
    }
}
