package thistlefall.standin.platform;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * The emulated environment of one platform node, on loopback: app servers, a counter, discovery and a configuration
 * file. All servers run on one event loop.
 */
public final class PlatformEnvironment implements AutoCloseable {
    private final MultiThreadIoEventLoopGroup eventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<PlatformAppServer> servers = new ArrayList<>();
    private final PlatformCounterServer counter = new PlatformCounterServer(loop(), new ConcurrentHashMap<>());
    private final DiscoveryServer discoveryServer = new DiscoveryServer(loop());
    private final InetSocketAddress counterAddress;
    private final int port;

    /** Starts an environment with the given number of app servers. */
    public PlatformEnvironment(int serverCount) throws IOException {
        for (int i = 0; i < serverCount; i++) {
            var server = new PlatformAppServer(loop());
            server.listen("127.0.0.1", 0);
            servers.add(server);
        }
        counterAddress = counter.listen();
        discoveryServer.listen("127.0.0.1", 0);
        discoveryServer.sendFullList(hostEntries());
        try (var probeSocket = new ServerSocket(0)) {
            port = probeSocket.getLocalPort();
        }
    }

    /** The event loop of all emulated servers. */
    public EventLoop loop() {
        return eventLoops.next();
    }

    /** Returns the app server with the given index. */
    public PlatformAppServer server(int index) {
        return servers.get(index);
    }

    public PlatformCounterServer counter() {
        return counter;
    }

    /** The discovery service. */
    public DiscoveryServer discovery() {
        return discoveryServer;
    }

    /** The address that the node under test must listen on. */
    public InetSocketAddress node() {
        return new InetSocketAddress("127.0.0.1", port);
    }

    /** Returns the discovery entry of the server with the given index. */
    public String hostEntry(int index, String health) {
        return DiscoveryServer.host("s-" + index, addressText(servers.get(index).address()), health, 0);
    }

    /** Returns the discovery entries of all servers, with health {@code up}. */
    public List<String> hostEntries() {
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < servers.size(); i++) {
            hosts.add(hostEntry(i, "up"));
        }
        return hosts;
    }

    /** Returns an address in the format of the configuration. */
    public static String addressText(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Writes the node's configuration file atomically. */
    public void configure(Path file) throws IOException {
        configure(file, discoveryServer.address(), counterAddress);
    }

    /** Writes the node's configuration file atomically, with the given discovery and counter addresses. */
    public void configure(Path file, InetSocketAddress discoveryEndpoint, InetSocketAddress counterEndpoint)
            throws IOException {
        String text;
        try (InputStream template = PlatformEnvironment.class.getResourceAsStream("node.json")) {
            text = new String(template.readAllBytes(), StandardCharsets.UTF_8);
        }
        text = text.replace("@LISTEN@", addressText(node()))
                .replace("@DISCOVERY@", addressText(discoveryEndpoint))
                .replace("@COUNTER@", addressText(counterEndpoint))
                .replace("@KNOWN@", DiscoveryServer.list(0, true, hostEntries()));
        Path temporaryFile = Files.writeString(file.resolveSibling(file.getFileName() + ".new"), text);
        Files.move(temporaryFile, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void close() {
        servers.forEach(PlatformAppServer::kill);
        discoveryServer.kill();
        counter.close();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
