package thistlefall.edge.resp;

import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import thistlefall.edge.counter.CounterClient;
import thistlefall.edge.counter.CounterService;

/**
 * The shared counter, divided into parts. A name always belongs to the same part: the one whose combined hash with the
 * name is highest (rendezvous hashing).
 */
public final class ShardedCounter implements CounterService {
    private final List<CounterClient> parts = new ArrayList<>();
    private final List<Long> partHashes = new ArrayList<>();

    /** Connects to all parts. The timeout of a call is in nanoseconds. */
    public ShardedCounter(
            EventLoop loop, List<? extends SocketAddress> addresses, long timeout, long seed, String sourceAddress) {
        for (SocketAddress address : addresses) {
            parts.add(new CounterClient(
                    loop,
                    new RespCounterProtocol(),
                    address,
                    timeout,
                    seed ^ address.toString().hashCode(),
                    sourceAddress));
            partHashes.add(Hashing.xxh3_64().hashCharsToLong(address.toString()));
        }
    }

    @Override
    public void add(long name, double amount, long lifetime, CounterCallback callback) {
        int bestPart = 0;
        long highestWeight = Long.MIN_VALUE;
        for (int i = 0; i < parts.size(); i++) {
            long weight = Hashing.xxh3_64()
                    .hashStream()
                    .putLong(partHashes.get(i))
                    .putLong(name)
                    .getAsLong();
            if (weight > highestWeight) {
                highestWeight = weight;
                bestPart = i;
            }
        }
        parts.get(bestPart).add("thistlefall:" + name, amount, lifetime, callback);
    }

    /** Whether all parts are connected. */
    public boolean isConnected() {
        return parts.stream().allMatch(CounterClient::isConnected);
    }

    @Override
    public void close() {
        parts.forEach(CounterClient::close);
    }
}
