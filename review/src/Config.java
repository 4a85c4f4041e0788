/** The node's configuration file: settings like those of the deployment dry-port-booking, for three edge nodes. */
final class Config {
    private Config() {}

    /** The file's text; {@code lastList} is the list of app servers that the node had last. */
    static String json(String listen, String discovery, String counter, String lastList) {
        return """
            {"name": "n0", "listen": "%s", "discovery": "%s", "counter": "%s", "seed": "%016x",
             "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
             "known": %s,
             "settings": {
              "caps": {"cancel": true, "connect-timeout-ns": 250000000, "keepalive-ns": 15000000000,
               "max-attempts": 4, "max-open": 20000, "max-retry-after-ns": 1000000000, "may-duplicate": false,
               "probes": true, "retry-after": true},
              "classes": [
               {"name": "slot-lookup", "aim-ns": 800000000, "deadline-ns": 3000000000, "group": "all",
                "idempotency": "retryable", "key-ttl-ns": 5000000000, "late-value": 0.0, "worth": 1.0},
               {"name": "gate-booking", "aim-ns": 500000000, "deadline-ns": 1200000000, "group": "cell",
                "idempotency": "dedup", "key-ttl-ns": 1200000000, "late-value": 0.2, "worth": 5.0},
               {"name": "fee-payment", "aim-ns": 1200000000, "deadline-ns": 5000000000, "group": "all",
                "idempotency": "fragile", "key-ttl-ns": 5000000000, "late-value": 0.2, "worth": 3.0}],
              "clients": {"marks-retry": false}, "discovery": "automatic",
              "domain": {"call-price": 0.005, "count-wait-ns": 50000000, "has-counter": true, "trued-up": true,
               "units-top": 4},
              "failure-domains": ["hall-a", "hall-b", "hall-c"], "skus": ["type-1", "type-2"],
              "load-info": {"names": ["waiting", "active"], "source": "on_probe"},
              "my-number": 0, "my-zone": 0, "siblings": 3,
              "rules": {"answer-slack-ns": 16000000, "ask-within-ns": 10000000000, "cold-from": 0.26,
               "overload-factor": 4.0, "ramp-time-ns": 18000000000, "stop-sending-within-ns": 250000000,
               "tip-after-ns": 1000000000},
              "tariffs": [
               {"name": "basic", "units-per-s": 2.2, "peak-units": 11.0, "price": 0.72, "beyond-costs": 1.2,
                "beyond-earns": 0.0},
               {"name": "standard", "units-per-s": 12.0, "peak-units": 27.0, "price": 1.3, "beyond-costs": 0.0,
                "beyond-earns": 0.1},
               {"name": "corridor", "units-per-s": 45.0, "peak-units": 124.0, "price": 1.8, "beyond-costs": 0.8,
                "beyond-earns": 0.0}],
              "tick-ns": 4000000, "weights": "nominal"}}
            """.formatted(listen, discovery, counter, System.nanoTime(), lastList);
    }
}
