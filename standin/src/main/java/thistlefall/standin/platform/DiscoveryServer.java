package thistlefall.standin.platform;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import thistlefall.standin.net.StandinHttpServer;

/**
 * An emulated discovery service of the platform. It sends the scripted updates on every open watch, and a heartbeat
 * every two seconds. Runs on one event loop; the public methods may be called from other threads.
 */
public final class DiscoveryServer extends StandinHttpServer {
    private static final long HEARTBEAT_INTERVAL_MILLIS = 2_000;

    private final List<String> entries = new ArrayList<>();
    private final List<InboundRequest> watches = new CopyOnWriteArrayList<>();
    private final List<String> watchTargets = new CopyOnWriteArrayList<>();
    private volatile boolean silent;
    private long version = 41;

    /** Creates a service with an empty server list on an event loop. */
    public DiscoveryServer(EventLoop loop) {
        super(loop, null, null);
        loop.scheduleWithFixedDelay(
                () -> broadcast("\n"), HEARTBEAT_INTERVAL_MILLIS, HEARTBEAT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns a server entry in the JSON that discovery sends. */
    public static String host(String id, String dial, String health, long bornMillis) {
        return "{\"host\":\"" + id + "\",\"dial\":\"" + dial + "\",\"site\":\"a\",\"class\":\"m\",\"block\":0,"
                + "\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":" + bornMillis + "}";
    }

    /** Returns a server list in the JSON that discovery sends; a list that is not whole is a delta. */
    public static String list(long sequence, boolean whole, List<String> hosts) {
        return "{\"seq\":" + sequence + ",\"whole\":" + whole + ",\"hosts\":[" + String.join(",", hosts) + "]}";
    }

    /** Replaces the full list and sends it on the open watches. */
    public void sendFullList(List<String> hosts) {
        submit(() -> {
            entries.clear();
            entries.addAll(hosts);
            broadcast(list(++version, true, entries) + "\n");
        });
    }

    /** Sends a delta with the given entries on the open watches. */
    public void sendDelta(List<String> hosts) {
        submit(() -> broadcast(list(++version, false, hosts) + "\n"));
    }

    /** Writes arbitrary text on the open watches. */
    public void writeRaw(String text) {
        submit(() -> broadcast(text));
    }

    /** Resets the connections of all open watches. */
    public void breakWatches() {
        submit(() -> {
            watches.forEach(InboundRequest::disconnect);
            watches.clear();
        });
    }

    /** Stops sending anything, or starts again; the connections stay open. */
    public void setSilent(boolean on) {
        silent = on;
    }

    /** Request targets of all watches opened so far, in order. */
    public List<String> requestedTargets() {
        return watchTargets;
    }

    /** Number of open watches. */
    public int openWatchCount() {
        return (int) watches.stream().filter(InboundRequest::isConnected).count();
    }

    private void submit(Runnable task) {
        loop().submit(task).syncUninterruptibly();
    }

    private void broadcast(String text) {
        if (!silent) {
            watches.removeIf(watch -> !watch.isConnected());
            watches.forEach(watch -> watch.chunk(text));
        }
    }

    @Override
    protected void handle(InboundRequest inbound) {
        watchTargets.add(inbound.head().target());
        inbound.startStream(200);
        watches.add(inbound);
        if (!entries.isEmpty() && !silent) {
            inbound.chunk(list(version, true, entries) + "\n");
        }
    }
}
