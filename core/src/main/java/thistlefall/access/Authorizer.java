package thistlefall.access;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import thistlefall.token.TokenInfo;

/**
 * Maps a token's claims to a customer and a plan, and decides whether the token may use a request class. Stateless and
 * thread-safe.
 */
public final class Authorizer {
    /**
     * The operator's mapping of claims to customers, plans and scopes.
     *
     * @param customerClaim the claim that names the customer
     * @param planClaim the claim that names the plan; null if every customer has the default plan
     * @param plans plan names, in the order of the settings
     * @param defaultPlan index of the plan for tokens without a plan claim; -1 if such tokens are forbidden
     * @param scopes for each class, in the order of the settings, the required scope; null for none
     */
    public record Mapping(
            String customerClaim, String planClaim, List<String> plans, int defaultPlan, List<String> scopes) {}

    /** The result of an authorization. */
    public sealed interface AuthorizationDecision {
        /** The request may proceed, for this customer under this plan. */
        record Allowed(String customer, int plan) implements AuthorizationDecision {}

        /** Status 403; {@code requiredScope} is the missing scope, or null if the reason is another one. */
        record Forbidden(String reason, String requiredScope) implements AuthorizationDecision {}
    }

    private final Mapping mapping;

    public Authorizer(Mapping mapping) {
        this.mapping = mapping;
    }

    /** Decides whether the holder of a token may use a request class, and as which customer. */
    public AuthorizationDecision authorize(TokenInfo tokenInfo, int requestClass) {
        Map<String, String> claims = tokenInfo.claims();
        String requiredScope = mapping.scopes().get(requestClass);
        if (requiredScope != null && !grantedScopes(claims).contains(requiredScope)) {
            return new AuthorizationDecision.Forbidden("the token lacks the scope " + requiredScope, requiredScope);
        }
        String customer = claims.get(mapping.customerClaim());
        if (customer == null || customer.isEmpty()) {
            return new AuthorizationDecision.Forbidden("the token names no customer", null);
        }
        String planName = mapping.planClaim() == null ? null : claims.get(mapping.planClaim());
        int plan = planName == null ? mapping.defaultPlan() : mapping.plans().indexOf(planName);
        if (plan < 0) {
            return new AuthorizationDecision.Forbidden(
                    planName == null ? "the token names no plan" : "the token names a plan that is unknown here", null);
        }
        return new AuthorizationDecision.Allowed(customer, plan);
    }

    private static Set<String> grantedScopes(Map<String, String> claims) {
        return new java.util.HashSet<>(
                Arrays.asList(claims.getOrDefault("scope", "").split(" +")));
    }
}
