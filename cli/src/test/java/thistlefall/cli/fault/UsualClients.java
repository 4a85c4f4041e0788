package thistlefall.cli.fault;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * Clients that send one request at a time on an open connection, each every 40 ms; one in four checks whether the node
 * is ready. Their requests are recorded under the name of the stretch of time in which they were sent.
 */
final class UsualClients implements AutoCloseable {
    /** Half a second after its time a request that has no answer is lost; the protocol's slack is added. */
    static final int LOST_AFTER_MILLIS = 550;

    private static final int PAUSE_MILLIS = 40;
    private static final int READINESS_EVERY = 4;
    private static final int[] TIMES_MILLIS = {300, 780, 1_300};

    /**
     * A request as its client saw it.
     *
     * @param status 0 if the connection ended without an answer, -1 if nothing came in time
     * @param response what was received, if the request was not served
     */
    record Request(String stretch, String id, int timeMillis, long tookMillis, int status, String response) {
        boolean isLate() {
            return status < 0 || tookMillis > timeMillis;
        }

        /** Whether nothing had come half a second after its time, or its connection ended without an answer. */
        boolean isLost() {
            return status <= 0 || tookMillis > timeMillis + LOST_AFTER_MILLIS;
        }
    }

    /** What the requests of a stretch came to. */
    record Summary(
            long requests, long served, long late, long lost, long medianMillis, long p99Millis, long maxMillis) {
        static Summary of(Collection<Request> requests) {
            long[] took =
                    requests.stream().mapToLong(Request::tookMillis).sorted().toArray();
            return new Summary(
                    requests.size(),
                    requests.stream().filter(request -> request.status() == 200).count(),
                    requests.stream().filter(Request::isLate).count(),
                    requests.stream().filter(Request::isLost).count(),
                    took.length == 0 ? 0 : took[took.length / 2],
                    took.length == 0 ? 0 : took[took.length * 99 / 100],
                    Arrays.stream(took).max().orElse(0));
        }
    }

    private final InetSocketAddress node;
    private final Collection<Request> requests = new ConcurrentLinkedQueue<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile String stretch;
    private volatile boolean stopped;

    UsualClients(InetSocketAddress node, int clients, String firstStretch) {
        this.node = node;
        stretch = firstStretch;
        for (int i = 0; i < clients; i++) {
            int number = i;
            var thread = new Thread(() -> ask(number), "usual-" + i);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
    }

    /** What is sent from now on belongs to another stretch. */
    void beginStretch(String name) {
        stretch = name;
    }

    /** Returns the requests of a stretch that were not served. */
    List<Request> notServed(String name) {
        return requests.stream()
                .filter(request -> request.stretch().equals(name) && request.status() != 200)
                .toList();
    }

    Summary summary(String name) {
        return Summary.of(requests.stream()
                .filter(request -> request.stretch().equals(name))
                .toList());
    }

    private void ask(int client) {
        FaultClient connection = null;
        try {
            for (int number = 0; !stopped; number++) {
                if (connection == null) {
                    connection = new FaultClient(node);
                }
                Request request = ask(connection, client, number);
                requests.add(request);
                if (request.status() <= 0 || connection.announcedClose()) {
                    connection.close();
                    connection = null;
                }
                Thread.sleep(PAUSE_MILLIS);
            }
            if (connection != null) {
                connection.close();
            }
        } catch (InterruptedException | IOException e) {
            throw new AssertionError(e);
        }
    }

    private Request ask(FaultClient connection, int client, int number) throws IOException {
        String id = "usual-" + client + "-" + number;
        int timeMillis = TIMES_MILLIS[(client + number) % TIMES_MILLIS.length];
        String text = number % READINESS_EVERY == 0
                ? FaultClient.READINESS
                : FaultClient.lookup(id, timeMillis / 1_000.0)
                        .replace("0000000000000007", String.format("%016x", 0x1000 + client));
        String sentIn = stretch;
        long sentAt = System.nanoTime();
        int status;
        try {
            connection.setMaxWait(timeMillis + LOST_AFTER_MILLIS);
            status = connection.write(text).readStatus();
        } catch (SocketTimeoutException e) {
            status = -1;
        } catch (IOException e) {
            status = 0;
        }
        long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
        String response = status == 200 ? "" : connection.lastResponse();
        return new Request(sentIn, id, timeMillis, tookMillis, status, response);
    }

    @Override
    public void close() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.join();
        }
    }
}
