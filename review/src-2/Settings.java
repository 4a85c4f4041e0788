package thistlefall.review2;

import java.util.List;
import java.util.Locale;

/** The settings of a small deployment with one edge node, as JSON. Times are milliseconds. */
final class Settings {
    private Settings() {}

    static String requestClass(String name, String effect, String group, int aim, int deadline, int window) {
        return "{\"name\":\"" + name + "\",\"idempotency\":\"" + effect + "\",\"group\":\"" + group + "\",\"aim-ns\":"
                + aim + "000000,\"deadline-ns\":" + deadline + "000000,\"key-ttl-ns\":" + window
                + "000000,\"late-value\":0.2,\"worth\":1.0,\"streamed\":false}";
    }

    static String plan(String name, double rate, double burst, double overCost, double overEarns, double ceilingRate,
            double ceilingBurst, double ceilingSlack) {
        return String.format(Locale.ROOT, "{\"name\":\"%s\",\"units-per-s\":%s,\"peak-units\":%s,\"price\":1.0,"
                        + "\"at-once\":0,\"beyond-costs\":%s,\"beyond-earns\":%s,\"hard-rate\":%s,"
                        + "\"hard-burst\":%s,\"hard-slack\":%s}",
                name, rate, burst, overCost, overEarns, ceilingRate, ceilingBurst, ceilingSlack);
    }

    static String of(int connectTimeout, int drainGrace, double largestRequest, List<String> classes,
            List<String> plans) {
        return "{\"caps\":{\"cancel\":true,\"connect-timeout-ns\":" + connectTimeout + "000000,"
                + "\"keepalive-ns\":30000000000,\"max-attempts\":4,\"max-open\":20000,"
                + "\"max-retry-after-ns\":500000000,\"may-duplicate\":false,\"may-tell\":false,\"multiplex\":1,"
                + "\"probes\":false,\"retry-after\":false},\"classes\":[" + String.join(",", classes) + "],"
                + "\"clients\":{\"marks-retry\":true},\"discovery\":\"automatic\",\"domain\":{\"call-price\":0.02,"
                + "\"count-wait-ns\":50000000,\"has-counter\":true,\"trued-up\":false,\"units-top\":" + largestRequest
                + "},\"failure-domains\":[\"a\",\"b\"],\"skus\":[\"m\"],\"load-info\":{\"names\":[],"
                + "\"source\":\"off\"},\"my-number\":0,\"my-zone\":0,\"siblings\":1,\"rules\":{"
                + "\"answer-slack-ns\":16000000,\"ask-within-ns\":10000000000,\"cold-from\":0.21,"
                + "\"overload-factor\":2.5,\"ramp-time-ns\":18000000000,\"stop-sending-within-ns\":" + drainGrace
                + "000000,\"tip-after-ns\":2000000000},\"tariffs\":[" + String.join(",", plans) + "],"
                + "\"tick-ns\":2000000,\"tier\":0,\"weights\":\"nominal\"}";
    }
}
