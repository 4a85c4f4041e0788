package thistlefall.token;

import java.util.Map;

/**
 * The data of an active token. Immutable.
 *
 * @param expiresAt the time of its {@code exp}, in nanoseconds; {@link Long#MAX_VALUE} if the service gives none
 * @param claims the members of the service's response that the settings use, as text
 */
public record TokenInfo(long expiresAt, Map<String, String> claims) {}
