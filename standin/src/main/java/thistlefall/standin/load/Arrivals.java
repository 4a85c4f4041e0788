package thistlefall.standin.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import thistlefall.edge.settings.NodeSettings.ClassSettings;
import thistlefall.standin.day.Day;

/** Draws all of a day's arrivals from its seed before the day begins: the same day and seed, the same arrivals. */
public final class Arrivals {
    private Arrivals() {
    }

    /** The arrivals, by time. */
    public static List<Arrival> draw(Day day, long seed) {
        var random = new SplittableRandom(seed);
        int largest = day.settings().counter() == null || day.settings().counter().largest() == null ? 1
            : (int) Math.floor(day.settings().counter().largest());
        List<Arrival> arrivals = new ArrayList<>();
        for (Day.Customers kind : day.customers()) {
            for (int i = 0; i < kind.count(); i++) {
                String customer = kind.name() + "-" + i;
                var own = random.split();
                // Independent clients: exponential gaps; the spread over the nodes is uneven and shifts.
                double at = -Math.log(1 - own.nextDouble()) / kind.rate();
                for (int n = 0; at < day.length().toNanos() / 1e9; n++) {
                    arrivals.add(arrival(day, kind, customer, n, at, largest, own));
                    at += -Math.log(1 - own.nextDouble()) / kind.rate();
                }
            }
        }
        for (Day.Trouble trouble : day.troubles()) {
            if (trouble.name().equals("hot_key")) {
                hot(day, trouble, largest, random.split(), arrivals);
            }
        }
        arrivals.sort(Comparator.comparingLong(Arrival::at).thenComparing(Arrival::op));
        return arrivals;
    }

    private static void hot(Day day, Day.Trouble trouble, int largest, SplittableRandom own, List<Arrival> into) {
        Day.Customers kind = day.customers().stream().filter(k -> k.plan().equals(trouble.target())).findFirst()
            .orElse(day.customers().get(0));
        double from = trouble.at().toNanos() / 1e9;
        double to = from + trouble.len().toNanos() / 1e9;
        double rate = kind.rate() * trouble.size();
        int n = 0;
        for (double at = from; at < to; at += -Math.log(1 - own.nextDouble()) / rate) {
            into.add(arrival(day, kind, kind.name() + "-0", 1_000_000 + n++, at, largest, own));
        }
    }

    private static Arrival arrival(Day day, Day.Customers kind, String customer, int n, double at, int largest,
                                   SplittableRandom random) {
        String name = draw(day.mix(), random);
        ClassSettings spec = day.settings().classes().stream().filter(c -> c.name().equals(name)).findFirst()
            .orElseThrow(() -> new IllegalArgumentException("mix names the class " + name + ", which is unknown"));
        double share = day.patience().get(0) + (day.patience().get(1) - day.patience().get(0)) * random.nextDouble();
        int busiest = (int) Math.floorMod(customer.hashCode() + (long) (at / 15), (long) day.nodes());
        int node = random.nextDouble() < 0.6 ? busiest : random.nextInt(day.nodes());
        return new Arrival((long) (at * 1e9), customer + "." + n, customer, kind.plan(), name,
            1 + random.nextInt(largest), (long) (spec.deadline().toNanos() * share), node);
    }

    private static String draw(Map<String, Double> mix, SplittableRandom random) {
        double left = random.nextDouble() * mix.values().stream().mapToDouble(d -> d).sum();
        String last = null;
        for (var entry : mix.entrySet()) {
            last = entry.getKey();
            left -= entry.getValue();
            if (left < 0) {
                break;
            }
        }
        return last;
    }
}
