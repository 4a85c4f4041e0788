package thistlefall.edge.token;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import thistlefall.token.TokenKey;

/**
 * Keyed digests of tokens: HMAC-SHA-256, truncated to 128 bits, under a key that is generated at the start and never
 * stored. A dump of the cache or a log reveals no token and can't be compared with that of another node. Not
 * thread-safe.
 */
public final class TokenDigest {
    private final Mac mac;

    /** A digest with a newly generated key. */
    public TokenDigest() {
        byte[] key = new byte[32];
        new SecureRandom().nextBytes(key);
        try {
            mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(key, "HmacSHA256"));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(
                    "HmacSHA256 is not available, although every Java platform must support it", e);
        }
    }

    /** The digest of a token. */
    public TokenKey of(String token) {
        ByteBuffer bytes = ByteBuffer.wrap(mac.doFinal(token.getBytes(StandardCharsets.UTF_8)));
        return new TokenKey(bytes.getLong(), bytes.getLong());
    }
}
