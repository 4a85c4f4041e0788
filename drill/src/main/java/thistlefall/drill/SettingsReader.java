package thistlefall.drill;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import thistlefall.Ports.Counter;
import thistlefall.Ports.Group;
import thistlefall.Ports.Limits;
import thistlefall.Ports.Plan;
import thistlefall.Ports.Repeat;
import thistlefall.Ports.RequestClass;
import thistlefall.Ports.Rules;
import thistlefall.Ports.Settings;

/** Turns the wire's path=value pairs into {@link Settings}; unknown paths are ignored. */
final class SettingsReader {
    private final Map<String, String> pairs = new HashMap<>();

    private SettingsReader() {
    }

    static Settings read(String[] parts, int from) {
        SettingsReader reader = new SettingsReader();
        for (int i = from; i < parts.length; i++) {
            int equals = parts[i].indexOf('=');
            if (equals < 1) {
                throw new IllegalArgumentException("'" + parts[i] + "' is not path=value");
            }
            reader.pairs.put(parts[i].substring(0, equals), parts[i].substring(equals + 1));
        }
        return reader.settings();
    }

    private Settings settings() {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < whole("classes.count"); i++) {
            String at = "classes." + i + ".";
            classes.add(new RequestClass(whole(at + "aim-ns"), whole(at + "deadline-ns"),
                switch (text(at + "idempotency")) {
                    case "retryable" -> Repeat.SAFE;
                    case "dedup" -> Repeat.KEYED;
                    default -> Repeat.UNSAFE;
                },
                switch (text(at + "group")) {
                    case "all" -> Group.ALL;
                    case "zone" -> Group.ZONE;
                    default -> Group.CELL;
                },
                whole(at + "key-ttl-ns"), number(at + "late-value"), number(at + "worth")));
        }
        List<Plan> plans = new ArrayList<>();
        for (int i = 0; i < whole("tariffs.count"); i++) {
            String at = "tariffs." + i + ".";
            plans.add(new Plan(number(at + "units-per-s"), number(at + "peak-units"), (int) whole(at + "at-once"),
                number(at + "price"), number(at + "beyond-earns"), number(at + "beyond-costs"),
                number(at + "hard-rate"), number(at + "hard-burst"), number(at + "hard-slack")));
        }
        String names = text("load-info.names");
        return new Settings((int) whole("my-number"), (int) Math.max(1, whole("siblings")), (int) whole("my-zone"),
            whole("tick-ns"), !text("weights").equals("off"),
            text("load-info.source").equals("off") || names.isEmpty() || names.equals("-")
                ? List.of() : List.of(names.split(",")),
            List.copyOf(classes), List.copyOf(plans),
            new Limits((int) whole("caps.max-attempts"), (int) whole("caps.max-open"), flag("caps.probes"),
                flag("caps.retry-after"), whole("caps.max-retry-after-ns"),
                text("discovery").equals("subscribe")),
            new Counter(flag("domain.has-counter"), whole("domain.count-wait-ns"), flag("domain.trued-up"),
                number("domain.units-top"), false),
            new Rules(whole("rules.answer-slack-ns"), number("rules.cold-from"), whole("rules.ramp-time-ns"),
                number("rules.overload-factor"), whole("rules.tip-after-ns")));
    }

    private String text(String path) {
        return pairs.getOrDefault(path, "");
    }

    private boolean flag(String path) {
        return text(path).equals("true") || text(path).equals("1");
    }

    private long whole(String path) {
        return Math.round(number(path));
    }

    private double number(String path) {
        String value = text(path);
        if (value.isEmpty() || value.equals("-")) {
            return 0;
        }
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(path + " is not a number");
        }
    }
}
