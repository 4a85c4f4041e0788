package thistlefall.edge.node;

import java.util.ArrayList;
import java.util.List;
import thistlefall.edge.http.HttpFields;

/**
 * Parses a server's load report in the text form of ORCA's response field: {@code endpoint-load-metrics: TEXT
 * named_metrics.queue=3, named_metrics.inflight=7, cpu_utilization=0.4}. Names are mapped to those of the decision
 * module: queue to waiting, inflight to active, cpu_utilization to cpu.
 */
final class LoadReport {
    private static final String FIELD_NAME = "endpoint-load-metrics";

    private LoadReport() {}

    /** Returns the values of these names in their order; empty if one is missing or there is no report. */
    static List<Double> parse(HttpFields fields, List<String> names) {
        String text = names.isEmpty() ? null : fields.get(FIELD_NAME);
        if (text == null || !text.startsWith("TEXT ")) {
            return List.of();
        }
        List<Double> values = new ArrayList<>(names.size());
        for (String name : names) {
            Double value = findValue(text, wireName(name));
            if (value == null) {
                return List.of();
            }
            values.add(value);
        }
        return values;
    }

    private static String wireName(String name) {
        return switch (name) {
            case "waiting" -> "named_metrics.queue";
            case "active" -> "named_metrics.inflight";
            case "cpu" -> "cpu_utilization";
            default -> "named_metrics." + name;
        };
    }

    private static Double findValue(String text, String name) {
        for (String entry : text.substring(5).split(",")) {
            int equalsIndex = entry.indexOf('=');
            if (equalsIndex > 0 && entry.substring(0, equalsIndex).strip().equals(name)) {
                return parseNonNegative(entry.substring(equalsIndex + 1).strip());
            }
        }
        return null;
    }

    /** Parses a finite number that is not negative; returns null for any other text. */
    static Double parseNonNegative(String text) {
        try {
            double value = Double.parseDouble(text);
            return Double.isFinite(value) && value >= 0 ? value : null;
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
