package thistlefall.standin.day;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import thistlefall.edge.settings.NodeSettings;
import thistlefall.edge.settings.NodeSettings.ClassSettings;
import thistlefall.standin.app.AppServer;
import thistlefall.standin.app.AppSpec;
import thistlefall.standin.app.IdempotencyKeyStore;
import thistlefall.standin.auth.IntrospectionServer;
import thistlefall.standin.consul.ConsulServer;
import thistlefall.standin.counter.CounterServer;
import thistlefall.standin.fault.InjectedFault;
import thistlefall.standin.load.ClientTokens;
import thistlefall.standin.load.LoadGenerator;
import thistlefall.standin.load.MisbehavingClients;
import thistlefall.standin.net.EmulatedNetwork;
import thistlefall.standin.trace.Trace;

/**
 * The edge nodes of a rehearsal and everything around them, built from the day and on loopback addresses. Closing it
 * stops all of them.
 */
final class RehearsalEnvironment implements AutoCloseable {
    static final String CLIENT_ID = "edge";
    static final String CLIENT_SECRET = "rehearsal";
    private static final String HOST = "127.0.0.1";

    final Day day;
    final Trace trace = new Trace();
    final EmulatedNetwork network = new EmulatedNetwork();
    final Map<String, AppServer> appServers = new LinkedHashMap<>();
    final Map<String, ConsulServer.ServiceEntry> serviceEntries = new ConcurrentHashMap<>();
    final IntrospectionServer introspectionServer;
    final CounterServer counterServer;
    final ConsulServer consulServer;
    final ClientTokens clientTokens;
    final LoadGenerator loadGenerator;
    final MisbehavingClients misbehavingClients;
    final EventLoop clientLoop;
    final List<NodeRunner.RunningNode> runningNodes = new ArrayList<>();
    private final List<NodeSettings> nodeSettings = new ArrayList<>();
    private final NodeRunner nodeRunner;
    private final Set<InjectedFault> injectedFaults;
    private final SplittableRandom random;
    private final MultiThreadIoEventLoopGroup eventLoopGroup;

    RehearsalEnvironment(Day day, long seed, NodeRunner nodeRunner, Set<InjectedFault> injectedFaults)
            throws IOException {
        this.day = day;
        this.nodeRunner = nodeRunner;
        this.injectedFaults = injectedFaults;
        random = new SplittableRandom(seed);
        eventLoopGroup = new MultiThreadIoEventLoopGroup(
                3, new DefaultThreadFactory("standin", true), NioIoHandler.newFactory());
        EventLoop serverLoop = eventLoopGroup.next();
        EventLoop serviceLoop = eventLoopGroup.next();
        clientLoop = eventLoopGroup.next();
        List<String> zones = day.settings().zones();
        String homeZone = zones.get(0);
        Map<String, IdempotencyKeyStore> keyStores = new ConcurrentHashMap<>();
        Map<String, AppServer.WorkProfile> workProfiles = workProfiles(day);
        for (AppSpec spec : day.servers()) {
            var server = new AppServer(
                    serverLoop,
                    network,
                    spec,
                    trace,
                    workProfiles::get,
                    name -> keyStores.computeIfAbsent(name, n -> new IdempotencyKeyStore()),
                    random.nextLong());
            server.listen(HOST, 0);
            appServers.put(spec.id(), server);
        }
        introspectionServer = new IntrospectionServer(serviceLoop, network, homeZone, CLIENT_ID, CLIENT_SECRET);
        introspectionServer.listen(HOST, 0);
        counterServer = new CounterServer(serviceLoop, network, homeZone, random.nextLong());
        counterServer.listen(HOST, 0);
        consulServer = new ConsulServer(serviceLoop, network, homeZone, trace, this::nodeNameAt);
        consulServer.listen(HOST, 0);
        for (AppServer server : appServers.values()) {
            if (server.spec().standby()) {
                server.crash();
            } else {
                register(server, "ready", 0);
            }
        }
        clientTokens = new ClientTokens(introspectionServer, requiredScopes(day));
        misbehavingClients = new MisbehavingClients(clientLoop);
        List<InetSocketAddress> nodeAddresses = new ArrayList<>();
        List<String> nodeNames = new ArrayList<>();
        for (int i = 0; i < day.nodes(); i++) {
            NodeSettings settings = startOnFreePort(i);
            nodeAddresses.add(new InetSocketAddress(HOST, settings.listen().port()));
            nodeNames.add(settings.node().name());
        }
        loadGenerator = new LoadGenerator(
                clientLoop,
                trace,
                nodeAddresses,
                nodeNames,
                day.settings().classes(),
                clientTokens,
                day.retries(),
                day.backOff().toNanos());
    }

    private static Map<String, AppServer.WorkProfile> workProfiles(Day day) {
        return day.settings().classes().stream()
                .collect(Collectors.toMap(
                        c -> "/" + c.name(),
                        c -> new AppServer.WorkProfile(
                                c.name(),
                                day.work().getOrDefault(c.name(), 10.0) / 1e3,
                                c.keyWindow() == null ? 0 : c.keyWindow().toNanos(),
                                c.group() == null ? "all" : c.group().name().toLowerCase(java.util.Locale.ROOT))));
    }

    private static String requiredScopes(Day day) {
        return day.settings().classes().stream()
                .map(ClassSettings::scope)
                .filter(s -> s != null)
                .distinct()
                .collect(Collectors.joining(" "));
    }

    /**
     * Starts a node on a port that was free just before, with up to 5 attempts because another process may take the
     * port first.
     */
    private NodeSettings startOnFreePort(int node) throws IOException {
        long seed = random.nextLong();
        for (int attempt = 1; ; attempt++) {
            NodeSettings settings = buildNodeSettings(node, freePort());
            network.assignZone(settings.node().sourceAddress(), settings.node().zone());
            nodeSettings.add(settings);
            try {
                runningNodes.add(nodeRunner.start(settings, seed, injectedFaults));
                return settings;
            } catch (IOException e) {
                nodeSettings.remove(node);
                if (attempt == 5) {
                    throw e;
                }
            }
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private static String sourceAddress(int node) {
        return "127.0.1." + (node + 1);
    }

    private String nodeNameAt(String address) {
        return nodeSettings.stream()
                .filter(s -> s.node().sourceAddress().equals(address))
                .map(s -> s.node().name())
                .findFirst()
                .orElse(address);
    }

    /** Returns the settings of a node: those of the day with the addresses filled in. */
    private NodeSettings buildNodeSettings(int node, int port) {
        NodeSettings template = day.settings();
        String zone = template.zones().get(node % template.zones().size());
        var identity = new NodeSettings.Identity("edge-" + node, node, day.nodes(), zone, sourceAddress(node));
        var tokenTemplate = template.introspection() != null
                ? template.introspection()
                : new NodeSettings.TokenSettings(null, null, null, null, null, null, null, null, null, null, null);
        var tokenSettings = new NodeSettings.TokenSettings(
                url(introspectionServer.address()) + "/introspect",
                CLIENT_ID,
                CLIENT_SECRET,
                tokenTemplate.maxEntries(),
                tokenTemplate.maxWaiting(),
                tokenTemplate.maxCalls(),
                tokenTemplate.freshFor(),
                tokenTemplate.negativeFor(),
                tokenTemplate.staleFor(),
                tokenTemplate.waitMost(),
                tokenTemplate.callTimeout());
        var counterTemplate = template.counter();
        var counterSettings = counterTemplate == null
                ? null
                : new NodeSettings.CounterSettings(
                        List.of(HOST + ":" + counterServer.address().getPort()),
                        counterTemplate.timeout(),
                        counterTemplate.settles(),
                        counterTemplate.largest());
        var serverTemplate = template.servers();
        var serverSettings = new NodeSettings.ServerSettings(
                null,
                url(consulServer.address()),
                "app",
                serverTemplate.probes(),
                serverTemplate.probePath(),
                serverTemplate.reports(),
                serverTemplate.sizesTell(),
                serverTemplate.maxConnections(),
                serverTemplate.connectTimeout(),
                serverTemplate.idleTimeout());
        return new NodeSettings(
                identity,
                new NodeSettings.Listen(HOST, port),
                template.zones(),
                template.kinds(),
                template.classes(),
                template.routes(),
                template.plans(),
                template.access(),
                template.limits(),
                tokenSettings,
                counterSettings,
                serverSettings,
                template.rules());
    }

    private static String url(InetSocketAddress address) {
        return "http://" + HOST + ":" + address.getPort();
    }

    NodeSettings nodeSettings(int node) {
        return nodeSettings.get(node);
    }

    InetSocketAddress nodeAddress(int node) {
        return new InetSocketAddress(HOST, nodeSettings.get(node).listen().port());
    }

    String nodeName(int node) {
        return nodeSettings.get(node).node().name();
    }

    String nodeZone(int node) {
        return nodeSettings.get(node).node().zone();
    }

    /** Registers a server with a state, or updates its entry. */
    void register(AppServer server, String state, double startedAt) {
        AppSpec spec = server.spec();
        var serviceEntry = new ConsulServer.ServiceEntry(
                spec.id(),
                HOST,
                server.address().getPort(),
                spec.zone(),
                spec.cell(),
                spec.kind(),
                spec.cores() * spec.speed(),
                state,
                startedAt);
        serviceEntries.put(spec.id(), serviceEntry);
        consulServer.put(serviceEntry);
    }

    /** Removes a server from the server list. */
    void deregister(String id) {
        serviceEntries.remove(id);
        consulServer.remove(id);
    }

    void killNode(int node) {
        trace.add(trace.event("player", "node-down").withNodeAndServer(nodeName(node), null));
        runningNodes.get(node).kill();
    }

    void startNode(int node) throws IOException {
        runningNodes.set(node, nodeRunner.start(nodeSettings.get(node), random.nextLong(), injectedFaults));
        trace.add(trace.event("player", "node-up").withNodeAndServer(nodeName(node), null));
    }

    void stallNode(int node, Duration span) {
        trace.add(trace.event("player", "node-down").withNodeAndServer(nodeName(node), null));
        runningNodes.get(node).stall(span);
    }

    /** Records in the trace that a stalled node runs again. */
    void recordStallEnd(int node) {
        trace.add(trace.event("player", "node-up").withNodeAndServer(nodeName(node), null));
    }

    @Override
    public void close() {
        clientLoop.submit(loadGenerator::close).awaitUninterruptibly(1_000);
        runningNodes.parallelStream().forEach(NodeRunner.RunningNode::stop);
        appServers.values().forEach(AppServer::kill);
        introspectionServer.kill();
        consulServer.kill();
        counterServer.crashKeepingData();
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2_000);
    }
}
