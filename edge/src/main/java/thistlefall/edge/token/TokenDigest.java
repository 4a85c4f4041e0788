package thistlefall.edge.token;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import thistlefall.token.TokenKey;

/**
 * Keyed digests of tokens: HMAC-SHA-256 under a key made at start and never written down, cut to 128 bits. A dump of
 * the cache or a log gives no token away and can't be compared with another node's. Not safe for several threads.
 */
public final class TokenDigest {
    private final Mac mac;

    /** A digest under a fresh key. */
    public TokenDigest() {
        byte[] key = new byte[32];
        new SecureRandom().nextBytes(key);
        try {
            mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(key, "HmacSHA256"));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java has HmacSHA256", e);
        }
    }

    /** The digest of a token. */
    public TokenKey of(String token) {
        ByteBuffer bytes = ByteBuffer.wrap(mac.doFinal(token.getBytes(StandardCharsets.UTF_8)));
        return new TokenKey(bytes.getLong(), bytes.getLong());
    }
}
