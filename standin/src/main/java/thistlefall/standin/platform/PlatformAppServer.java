package thistlefall.standin.platform;

import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import thistlefall.standin.net.StandinHttpServer;

/**
 * An emulated app server of the platform. It responds to each request with the request's id, unless a script handles
 * the request. Requests are handled on one event loop; settings may be changed from any thread.
 */
public final class PlatformAppServer extends StandinHttpServer {
    /** Handles requests in place of the normal response. */
    @FunctionalInterface
    public interface RequestScript {
        /** Handles a request; returns false if the server is to send the normal response. */
        boolean handle(InboundRequest request);
    }

    private final List<String> requestIds = new CopyOnWriteArrayList<>();
    private volatile RequestScript script = request -> false;
    private volatile long delayMillis;

    /** Creates a server for an event loop. */
    public PlatformAppServer(EventLoop loop) {
        super(loop, null, null);
    }

    /** Sets the script that gets each request first. */
    public void setScript(RequestScript newScript) {
        script = newScript;
    }

    /** Delays each normal response by this many milliseconds. */
    public void setResponseDelayMillis(long millis) {
        delayMillis = millis;
    }

    /** Ids of the complete requests received, in order, without probes. */
    public List<String> receivedRequestIds() {
        return requestIds;
    }

    /** Returns the body of the normal response to a request. */
    public static byte[] body(String id) {
        return ("{\"slot\":\"" + id + "\"}").getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    protected void handle(InboundRequest inbound) {
        if (inbound.head().target().equals("/stats")) {
            inbound.respond(200, Map.of("Endpoint-Load-Metrics", "TEXT inflight=1, queue=0"), new byte[0]);
            return;
        }
        String id = inbound.field("x-trace-id");
        requestIds.add(id);
        if (script.handle(inbound)) {
            return;
        }
        Runnable respond = () -> inbound.respond(
                200,
                Map.of(
                        "Content-Type",
                        "application/json",
                        "X-True-Cost",
                        "1.5",
                        "Endpoint-Load-Metrics",
                        "TEXT inflight=1, queue=0"),
                body(id));
        if (delayMillis > 0) {
            loop().schedule(respond, delayMillis, TimeUnit.MILLISECONDS);
        } else {
            respond.run();
        }
    }
}
