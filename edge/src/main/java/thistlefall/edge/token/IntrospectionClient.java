package thistlefall.edge.token;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import thistlefall.attempt.EndReason;
import thistlefall.edge.http.HttpLimits;
import thistlefall.edge.upstream.ServerConnectionPool;
import thistlefall.edge.upstream.ServiceCall;
import thistlefall.token.IntrospectionResult;
import thistlefall.token.IntrospectionResult.FailureReason;
import thistlefall.token.TokenInfo;

/**
 * Calls a token introspection service: a form POST with HTTP Basic authentication (RFC 7662 section 2.1, RFC 6749
 * section 2.3.1). Only status 200 with a JSON object whose {@code active} is a boolean is a valid response.
 */
public final class IntrospectionClient {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final EventLoop loop;
    private final ServerConnectionPool pool;
    private final String target;
    private final Map<String, String> fields = new LinkedHashMap<>();

    /**
     * A client of the service at a URL {@code http://host:port/path}, connecting from {@code sourceAddress} unless
     * null.
     */
    public IntrospectionClient(
            EventLoop loop, URI url, String clientId, String clientSecret, int maxCalls, String sourceAddress) {
        this.loop = loop;
        int port = url.getPort() < 0 ? 80 : url.getPort();
        pool = new ServerConnectionPool(
                loop,
                new InetSocketAddress(url.getHost(), port),
                new ServerConnectionPool.PoolLimits(maxCalls + 8, 250_000_000L, 30_000_000_000L, sourceAddress),
                new HttpLimits(8192, 16384, 64, MAX_BODY_BYTES));
        target = url.getRawPath() == null || url.getRawPath().isEmpty() ? "/" : url.getRawPath();
        String credentials = urlEncode(clientId) + ":" + urlEncode(clientSecret);
        fields.put("Host", url.getHost() + ":" + port);
        fields.put(
                "Authorization",
                "Basic " + Base64.getEncoder().encodeToString(credentials.getBytes(StandardCharsets.UTF_8)));
        fields.put("Accept", "application/json");
        fields.put("Content-Type", "application/x-www-form-urlencoded");
    }

    private static String urlEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    /**
     * Introspects a token, with a timeout in nanoseconds. The callback is called exactly once, on the event loop and
     * never from within this method.
     */
    public void introspect(String token, long timeout, Consumer<IntrospectionResult> callback) {
        byte[] body = ("token=" + urlEncode(token) + "&token_type_hint=access_token").getBytes(StandardCharsets.UTF_8);
        loop.execute(() -> ServiceCall.send(
                loop,
                pool,
                "POST",
                target,
                fields,
                body,
                MAX_BODY_BYTES,
                timeout,
                response -> callback.accept(toResult(response))));
    }

    /** Closes the connections to the service. */
    public void close() {
        pool.close();
    }

    /** Converts a response to the result of the introspection. */
    static IntrospectionResult toResult(ServiceCall.ServiceResponse response) {
        if (response.endReason() != EndReason.ANSWER) {
            return new IntrospectionResult.Failed(
                    switch (response.endReason()) {
                        case REFUSED, CONNECT_OVERDUE, NO_PLACE -> FailureReason.UNREACHABLE;
                        case OVERDUE -> FailureReason.OVERDUE;
                        case GARBLED -> FailureReason.GARBLED;
                        default -> FailureReason.BROKEN;
                    });
        }
        if (response.status() == 401 || response.status() == 403) {
            return new IntrospectionResult.Failed(FailureReason.OUR_CREDENTIALS);
        }
        if (response.status() != 200) {
            return new IntrospectionResult.Failed(FailureReason.REFUSED);
        }
        try {
            JsonNode json = JSON.readTree(response.body());
            JsonNode active = json == null ? null : json.get("active");
            if (active == null || !active.isBoolean()) {
                return new IntrospectionResult.Failed(FailureReason.GARBLED);
            }
            return active.booleanValue() ? parseActiveToken(json) : new IntrospectionResult.Inactive();
        } catch (IOException e) {
            return new IntrospectionResult.Failed(FailureReason.GARBLED);
        }
    }

    private static IntrospectionResult parseActiveToken(JsonNode json) {
        long expiresAt = Long.MAX_VALUE;
        JsonNode exp = json.get("exp");
        if (exp != null && !exp.isNull()) {
            if (!exp.isNumber() || exp.doubleValue() < 0) {
                return new IntrospectionResult.Failed(FailureReason.GARBLED);
            }
            // Seconds since the epoch. A time beyond the year 2262 does not fit in a long of nanoseconds: never
            // expires.
            double nanos = exp.doubleValue() * 1e9;
            expiresAt = nanos >= Long.MAX_VALUE ? Long.MAX_VALUE : (long) nanos;
        }
        Map<String, String> claims = new HashMap<>();
        json.properties().forEach(claim -> {
            if (claim.getValue().isValueNode() && !claim.getValue().isNull()) {
                claims.put(claim.getKey(), claim.getValue().asText());
            }
        });
        return new IntrospectionResult.Active(new TokenInfo(expiresAt, Map.copyOf(claims)));
    }
}
