package thistlefall.settings;

import java.util.ArrayList;
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

/**
 * Builds {@link Settings} from paths and values, as the simulator's protocol sends them and as a platform's
 * configuration file gives them once its nesting is flattened: {@code classes.count}, {@code classes.0.aim-ns}; a list
 * of plain values is joined by commas. Durations are nanoseconds. Unknown paths are ignored; a missing value is 0 or
 * off.
 */
public final class SettingsReader {
    private final Map<String, String> valuesByPath;

    private SettingsReader(Map<String, String> valuesByPath) {
        this.valuesByPath = valuesByPath;
    }

    /**
     * Reads settings.
     *
     * @throws IllegalArgumentException if a value that must be a number is not one; the message names its path
     */
    public static Settings read(Map<String, String> valuesByPath) {
        return new SettingsReader(valuesByPath).settings();
    }

    /** Returns the values of one member of a list of objects, in order: {@code members(values, "classes", "name")}. */
    public static List<String> memberValues(Map<String, String> valuesByPath, String list, String member) {
        List<String> values = new ArrayList<>();
        var reader = new SettingsReader(valuesByPath);
        for (int i = 0; i < reader.longValue(list + ".count"); i++) {
            values.add(reader.text(list + "." + i + "." + member));
        }
        return values;
    }

    /** Returns a list of plain values; empty if absent. */
    public static List<String> values(Map<String, String> valuesByPath, String path) {
        String text = new SettingsReader(valuesByPath).text(path);
        return text.isEmpty() || text.equals("-") ? List.of() : List.of(text.split(","));
    }

    /** Returns a whole number; 0 if absent. */
    public static long longValue(Map<String, String> valuesByPath, String path) {
        return new SettingsReader(valuesByPath).longValue(path);
    }

    private Settings settings() {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < longValue("classes.count"); i++) {
            String prefix = "classes." + i + ".";
            classes.add(new RequestClass(
                    longValue(prefix + "aim-ns"),
                    longValue(prefix + "deadline-ns"),
                    switch (text(prefix + "idempotency")) {
                        case "retryable" -> Repeat.SAFE;
                        case "dedup" -> Repeat.KEYED;
                        default -> Repeat.UNSAFE;
                    },
                    switch (text(prefix + "group")) {
                        case "all" -> Group.ALL;
                        case "zone" -> Group.ZONE;
                        default -> Group.CELL;
                    },
                    longValue(prefix + "key-ttl-ns"),
                    number(prefix + "late-value"),
                    number(prefix + "worth")));
        }
        List<Plan> plans = new ArrayList<>();
        for (int i = 0; i < longValue("tariffs.count"); i++) {
            String prefix = "tariffs." + i + ".";
            plans.add(new Plan(
                    number(prefix + "units-per-s"),
                    number(prefix + "peak-units"),
                    (int) longValue(prefix + "at-once"),
                    number(prefix + "price"),
                    number(prefix + "beyond-earns"),
                    number(prefix + "beyond-costs"),
                    number(prefix + "hard-rate"),
                    number(prefix + "hard-burst"),
                    number(prefix + "hard-slack")));
        }
        List<String> reportNames = values(valuesByPath, "load-info.names");
        return new Settings(
                (int) longValue("my-number"),
                (int) Math.max(1, longValue("siblings")),
                (int) longValue("my-zone"),
                longValue("tick-ns"),
                !text("weights").equals("off"),
                text("load-info.source").equals("off") ? List.of() : reportNames,
                List.copyOf(classes),
                List.copyOf(plans),
                new Limits(
                        (int) longValue("caps.max-attempts"),
                        (int) longValue("caps.max-open"),
                        flag("caps.probes"),
                        flag("caps.retry-after"),
                        longValue("caps.max-retry-after-ns"),
                        text("discovery").equals("subscribe")),
                new Counter(
                        flag("domain.has-counter"),
                        longValue("domain.count-wait-ns"),
                        flag("domain.trued-up"),
                        number("domain.units-top"),
                        false),
                new Rules(
                        longValue("rules.answer-slack-ns"),
                        number("rules.cold-from"),
                        longValue("rules.ramp-time-ns"),
                        number("rules.overload-factor"),
                        longValue("rules.tip-after-ns")));
    }

    private String text(String path) {
        return valuesByPath.getOrDefault(path, "");
    }

    private boolean flag(String path) {
        return text(path).equals("true") || text(path).equals("1");
    }

    private long longValue(String path) {
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
