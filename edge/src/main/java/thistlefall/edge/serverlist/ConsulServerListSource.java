package thistlefall.edge.serverlist;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import thistlefall.attempt.EndReason;
import thistlefall.edge.http.HttpLimits;
import thistlefall.edge.upstream.ServerConnectionPool;
import thistlefall.edge.upstream.ServiceCall;

/**
 * Reads the server list by blocking queries to Consul's health API: {@code GET
 * /v1/health/service/NAME?index=I&wait=30s} responds when something has changed since I. According to the documentation
 * of that API, an index that goes back means that the source lost its history: the next query starts again at 0. Failed
 * queries are retried with exponential backoff and jitter.
 */
public final class ConsulServerListSource implements ServerListSource {
    private static final int MAX_BODY_BYTES = 16 << 20;
    private static final long WAIT_SECONDS = 30;
    private static final long MIN_BACKOFF_NANOS = 50_000_000L;
    private static final long MAX_BACKOFF_NANOS = 2_000_000_000L;

    private final EventLoop loop;
    private final ServerConnectionPool pool;
    private final String host;
    private final String service;
    private final ServerListParser parser;
    private final SplittableRandom random;
    private ServerListListener listener;
    private long index;
    private long backoff = MIN_BACKOFF_NANOS;
    private boolean stopped;
    private boolean listReceived;

    /** A source that queries a service by its name at a base URL, connecting from {@code sourceAddress} unless null. */
    public ConsulServerListSource(
            EventLoop loop, URI baseUrl, String service, ServerListParser parser, long seed, String sourceAddress) {
        this.loop = loop;
        int port = baseUrl.getPort() < 0 ? 80 : baseUrl.getPort();
        host = baseUrl.getHost() + ":" + port;
        pool = new ServerConnectionPool(
                loop,
                new InetSocketAddress(baseUrl.getHost(), port),
                new ServerConnectionPool.PoolLimits(2, 500_000_000L, 60_000_000_000L, sourceAddress),
                new HttpLimits(8192, 32768, 100, MAX_BODY_BYTES));
        this.service = service;
        this.parser = parser;
        random = new SplittableRandom(seed);
    }

    @Override
    public void start(ServerListListener newListener) {
        listener = newListener;
        loop.execute(this::sendQuery);
    }

    private void sendQuery() {
        if (stopped) {
            return;
        }
        String target = "/v1/health/service/" + service + "?index=" + index + "&wait=" + WAIT_SECONDS + "s";
        long timeout = TimeUnit.SECONDS.toNanos(WAIT_SECONDS + WAIT_SECONDS / 16 + 2);
        ServiceCall.send(
                loop,
                pool,
                "GET",
                target,
                Map.of("Host", host, "Accept", "application/json"),
                new byte[0],
                MAX_BODY_BYTES,
                timeout,
                this::handleResponse);
    }

    private void handleResponse(ServiceCall.ServiceResponse response) {
        if (stopped) {
            return;
        }
        try {
            if (response.endReason() != EndReason.ANSWER || response.status() != 200) {
                throw new ServerListParser.InvalidServerListException(
                        response.endReason() == EndReason.ANSWER
                                ? "status " + response.status()
                                : "no response: " + response.endReason());
            }
            String indexText = response.fields().get("x-consul-index");
            long newIndex = indexText != null && indexText.matches("\\d{1,18}") ? Long.parseLong(indexText) : -1;
            if (newIndex < 0) {
                throw new ServerListParser.InvalidServerListException("response without X-Consul-Index");
            }
            var servers = parser.parseConsul(response.body());
            backoff = MIN_BACKOFF_NANOS;
            if (newIndex < index) {
                listener.sourceReset();
                index = 0;
                loop.execute(this::sendQuery);
                return;
            }
            boolean changed = newIndex != index || !listReceived;
            listReceived = true;
            index = Math.max(1, newIndex);
            if (changed) {
                listener.fullList(newIndex, servers);
            }
            // A source that responds at once without changes must not be queried as fast as it responds.
            loop.schedule(this::sendQuery, changed ? 5 : 50, TimeUnit.MILLISECONDS);
        } catch (ServerListParser.InvalidServerListException e) {
            listener.sourceFailed("server list at " + host + ": " + e.getMessage());
            long delay = (long) (backoff * (0.5 + random.nextDouble()));
            backoff = Math.min(MAX_BACKOFF_NANOS, backoff * 2);
            loop.schedule(this::sendQuery, delay, TimeUnit.NANOSECONDS);
        }
    }

    @Override
    public void stop() {
        stopped = true;
        pool.close();
    }
}
