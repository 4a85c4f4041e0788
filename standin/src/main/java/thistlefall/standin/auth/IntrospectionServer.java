package thistlefall.standin.auth;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import thistlefall.standin.net.EmulatedNetwork;
import thistlefall.standin.net.StandinHttpServer;

/**
 * An emulated token introspection service (RFC 7662), with misbehaviour that a script switches on and off. Calls are
 * handled on the server's event loop; tokens and the mode may be changed from any thread.
 */
public final class IntrospectionServer extends StandinHttpServer {
    /** How the service responds to calls. */
    public enum IntrospectionMode {
        WELL,
        SILENT,
        SLOW,
        REFUSING,
        FAILING,
        GARBLING,
        REJECTING_CREDENTIALS
    }

    /**
     * What the service knows about a token.
     *
     * @param customer client id that the token was issued to
     * @param plan value of the plan claim
     * @param scope scopes, separated by spaces
     * @param expiresAt expiry in seconds since the epoch; 0 for a token that never expires
     */
    public record IssuedToken(String customer, String plan, String scope, double expiresAt) {}

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_HELD_REQUESTS = 100_000;
    private final String expectedAuthorization;
    private final Map<String, IssuedToken> tokens = new ConcurrentHashMap<>();
    private final List<InboundRequest> heldRequests = new ArrayList<>();
    private final AtomicLong calls = new AtomicLong();
    private volatile IntrospectionMode mode = IntrospectionMode.WELL;
    private volatile long delayMillis;

    /** Creates a service without tokens that accepts the credentials of one client. */
    public IntrospectionServer(
            EventLoop loop, EmulatedNetwork network, String zone, String clientId, String clientSecret) {
        super(loop, network, zone);
        expectedAuthorization = "Basic "
                + Base64.getEncoder().encodeToString((clientId + ":" + clientSecret).getBytes(StandardCharsets.UTF_8));
    }

    /** Issues a token, or replaces what the service knows about it. */
    public void issue(String token, IssuedToken issuedToken) {
        tokens.put(token, issuedToken);
    }

    public void revoke(String token) {
        tokens.remove(token);
    }

    /** Number of calls received so far. */
    public long callCount() {
        return calls.get();
    }

    /**
     * Changes the mode, and responds to the calls that were held back unless the new mode is {@code SILENT}.
     *
     * @param newDelayMillis response delay, used in mode {@code SLOW} only
     */
    public void setMode(IntrospectionMode newMode, long newDelayMillis) {
        mode = newMode;
        delayMillis = newDelayMillis;
        if (newMode != IntrospectionMode.SILENT) {
            loop().execute(() -> {
                List<InboundRequest> released = new ArrayList<>(heldRequests);
                heldRequests.clear();
                released.forEach(this::respond);
            });
        }
    }

    @Override
    protected void handle(InboundRequest inbound) {
        calls.incrementAndGet();
        switch (mode) {
            case WELL -> respond(inbound);
            case SILENT -> {
                if (heldRequests.size() < MAX_HELD_REQUESTS) {
                    heldRequests.add(inbound);
                }
            }
            case SLOW -> loop().schedule(() -> respond(inbound), delayMillis, TimeUnit.MILLISECONDS);
            case REFUSING -> inbound.respond(503, Map.of("Retry-After", "1"), new byte[0]);
            case FAILING -> inbound.respond(500, Map.of(), new byte[0]);
            case GARBLING -> inbound.respond(
                    200,
                    Map.of("Content-Type", "application/json"),
                    "{\"active\": \"perhaps\"".getBytes(StandardCharsets.UTF_8));
            case REJECTING_CREDENTIALS -> unauthorized(inbound);
        }
    }

    private static void unauthorized(StandinHttpServer.InboundRequest inbound) {
        inbound.respond(
                401,
                Map.of("WWW-Authenticate", "Basic realm=\"introspection\"", "Content-Type", "application/json"),
                "{\"error\":\"invalid_client\"}".getBytes(StandardCharsets.UTF_8));
    }

    private void respond(InboundRequest inbound) {
        if (!inbound.isConnected()) {
            return;
        }
        if (!inbound.head().method().equals("POST")) {
            inbound.respond(405, Map.of("Allow", "POST"), new byte[0]);
            return;
        }
        if (!expectedAuthorization.equals(inbound.field("authorization"))) {
            unauthorized(inbound);
            return;
        }
        String presentedToken = formParameter(new String(inbound.body(), StandardCharsets.UTF_8), "token");
        if (presentedToken == null) {
            inbound.respond(
                    400,
                    Map.of("Content-Type", "application/json"),
                    "{\"error\":\"invalid_request\"}".getBytes(StandardCharsets.UTF_8));
            return;
        }
        IssuedToken token = tokens.get(presentedToken);
        ObjectNode introspection = JSON.createObjectNode();
        boolean active =
                token != null && (token.expiresAt() == 0 || token.expiresAt() > System.currentTimeMillis() / 1e3);
        introspection.put("active", active);
        if (active) {
            introspection
                    .put("client_id", token.customer())
                    .put("sub", token.customer())
                    .put("scope", token.scope())
                    .put("plan", token.plan())
                    .put("token_type", "Bearer");
            if (token.expiresAt() > 0) {
                introspection.put("exp", (long) token.expiresAt());
            }
        }
        inbound.respond(
                200,
                Map.of("Content-Type", "application/json", "Cache-Control", "no-store"),
                introspection.toString().getBytes(StandardCharsets.UTF_8));
    }

    private static String formParameter(String body, String name) {
        for (String pair : body.split("&")) {
            int separator = pair.indexOf('=');
            if (separator > 0 && pair.substring(0, separator).equals(name)) {
                return URLDecoder.decode(pair.substring(separator + 1), StandardCharsets.UTF_8);
            }
        }
        return null;
    }
}
