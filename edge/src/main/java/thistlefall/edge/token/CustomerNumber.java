package thistlefall.edge.token;

import com.dynatrace.hash4j.hashing.Hashing;

/** Derives the number that identifies a customer at the shared counter. */
public final class CustomerNumber {
    private CustomerNumber() {}

    /**
     * The number of a customer: 63 bits of the XXH3 hash of its name, the same on every node and after every restart.
     * The probability that any two of a million customers share a number is 5.4e-8.
     */
    public static long of(String name) {
        return Hashing.xxh3_64().hashCharsToLong(name) >>> 1;
    }
}
