package thistlefall.cli;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import thistlefall.standin.app.AppServer;
import thistlefall.standin.app.AppSpec;
import thistlefall.standin.app.IdempotencyKeyStore;
import thistlefall.standin.auth.IntrospectionServer;
import thistlefall.standin.consul.ConsulServer;
import thistlefall.standin.counter.CounterServer;
import thistlefall.standin.trace.Trace;

/** Sub-command {@code standin}: runs a single stand-in on a loopback address until it is interrupted. */
@Command(
        name = "standin",
        mixinStandardHelpOptions = true,
        subcommandsRepeatable = false,
        description = "Runs a stand-in by itself on a loopback address until it is interrupted.")
final class StandinCommand {
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();

    /** Prints the stand-in's address and blocks until the process is interrupted. */
    private int printAddressAndBlock(String label, InetSocketAddress address) throws InterruptedException {
        System.out.println(label + " at " + address.getHostString() + ":" + address.getPort());
        System.out.flush();
        Thread.currentThread().join();
        return 0;
    }

    @Command(
            name = "introspection",
            mixinStandardHelpOptions = true,
            description = "An introspection service (RFC 7662); the client is edge with the secret rehearsal.")
    int introspection(
            @Option(names = "--port", defaultValue = "0") int port,
            @Option(names = "--token", paramLabel = "TOKEN=CUSTOMER:PLAN[:SCOPE]") Map<String, String> tokens)
            throws InterruptedException {
        var server = new IntrospectionServer(loop, null, null, "edge", "rehearsal");
        if (tokens != null) {
            tokens.forEach((token, identity) -> {
                String[] parts = (identity + ": ").split(":");
                server.issue(token, new IntrospectionServer.IssuedToken(parts[0], parts[1], parts[2].strip(), 0));
            });
        }
        server.listen("127.0.0.1", port);
        return printAddressAndBlock("introspection", server.address());
    }

    @Command(name = "counter", mixinStandardHelpOptions = true, description = "A counter that speaks RESP2.")
    int counter(@Option(names = "--port", defaultValue = "0") int port) throws InterruptedException {
        var server = new CounterServer(loop, null, null, 1);
        server.listen("127.0.0.1", port);
        return printAddressAndBlock("counter", server.address());
    }

    @Command(name = "app", mixinStandardHelpOptions = true, description = "An app server.")
    int app(
            @Option(names = "--port", defaultValue = "0") int port,
            @Option(names = "--cores", defaultValue = "3") int cores,
            @Option(names = "--queue", defaultValue = "60") int queue,
            @Option(names = "--work", paramLabel = "PATH=MS", required = true) Map<String, Double> work)
            throws InterruptedException {
        var spec = new AppSpec(
                "app", null, 0, "kind", cores, 1, queue, 0.25, Duration.ofSeconds(10), 4, Duration.ofSeconds(1), false);
        Map<String, IdempotencyKeyStore> keyStores = new ConcurrentHashMap<>();
        var server = new AppServer(
                loop,
                null,
                spec,
                new Trace(),
                path -> !work.containsKey(path)
                        ? null
                        : new AppServer.WorkProfile(path.substring(1), work.get(path) / 1e3, 0, "all"),
                storeName -> keyStores.computeIfAbsent(storeName, n -> new IdempotencyKeyStore()),
                1);
        server.listen("127.0.0.1", port);
        return printAddressAndBlock("app server", server.address());
    }

    @Command(name = "list", mixinStandardHelpOptions = true, description = "A server list with Consul's health API.")
    int list(
            @Option(names = "--port", defaultValue = "0") int port,
            @Option(names = "--server", paramLabel = "ID=HOST:PORT") Map<String, String> servers)
            throws InterruptedException {
        var server = new ConsulServer(loop, null, null, new Trace(), peer -> peer);
        server.listen("127.0.0.1", port);
        Map<String, String> addresses = servers == null ? new HashMap<>() : servers;
        List<String> ids = new ArrayList<>(addresses.keySet());
        for (String id : ids) {
            String address = addresses.get(id);
            int colon = address.lastIndexOf(':');
            server.put(new ConsulServer.ServiceEntry(
                    id,
                    address.substring(0, colon),
                    Integer.parseInt(address.substring(colon + 1)),
                    null,
                    0,
                    null,
                    1,
                    "ready",
                    0));
        }
        return printAddressAndBlock("server list", server.address());
    }
}
