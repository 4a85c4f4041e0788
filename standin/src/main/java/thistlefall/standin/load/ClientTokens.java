package thistlefall.standin.load;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import thistlefall.standin.auth.IntrospectionServer;

/** The access tokens that customers hold. A rejected token is replaced by a new one. Thread-safe. */
public final class ClientTokens {
    private final IntrospectionServer introspectionServer;
    private final String scope;
    private final Map<String, String> tokenByCustomer = new ConcurrentHashMap<>();
    private final AtomicInteger issuedCount = new AtomicInteger();

    /** Creates a store without tokens; they will be issued through the given introspection service. */
    public ClientTokens(IntrospectionServer introspectionServer, String scope) {
        this.introspectionServer = introspectionServer;
        this.scope = scope;
    }

    /** Returns the current token of a customer, issuing one on the first call. */
    public String tokenFor(String customer, String plan) {
        return tokenByCustomer.computeIfAbsent(customer, name -> issue(name, plan));
    }

    /** Replaces a customer's token after it was rejected, unless it has been replaced already. */
    public void renew(String customer, String plan, String rejectedToken) {
        tokenByCustomer.computeIfPresent(
                customer, (name, token) -> token.equals(rejectedToken) ? issue(name, plan) : token);
    }

    /** Revokes a customer's token; the customer keeps using it until it is rejected. */
    public void revoke(String customer) {
        String token = tokenByCustomer.get(customer);
        if (token != null) {
            introspectionServer.revoke(token);
        }
    }

    /** Makes a customer's token expire in one to two seconds; later introspection calls return that expiry. */
    public void expireSoon(String customer, String plan) {
        String token = tokenByCustomer.get(customer);
        if (token != null) {
            introspectionServer.issue(
                    token,
                    new IntrospectionServer.IssuedToken(
                            customer, plan, scope, Math.ceil(System.currentTimeMillis() / 1e3) + 1));
        }
    }

    /** Returns the customers that hold a token. */
    public java.util.Set<String> customers() {
        return tokenByCustomer.keySet();
    }

    private String issue(String customer, String plan) {
        String token = "tk-" + customer + "-" + issuedCount.incrementAndGet();
        introspectionServer.issue(token, new IntrospectionServer.IssuedToken(customer, plan, scope, 0));
        return token;
    }
}
