package thistlefall.standin.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import thistlefall.edge.settings.NodeSettings.ClassSettings;
import thistlefall.standin.day.Day;

/** Generates all arrivals of a day in advance. The same day and seed always give the same arrivals. */
public final class ArrivalGenerator {
    private ArrivalGenerator() {}

    /** Returns the arrivals of the day, sorted by time. */
    public static List<Arrival> generate(Day day, long seed) {
        var random = new SplittableRandom(seed);
        int maxUnits =
                day.settings().counter() == null || day.settings().counter().largest() == null
                        ? 1
                        : (int) Math.floor(day.settings().counter().largest());
        List<Arrival> arrivals = new ArrayList<>();
        for (Day.Customers customerGroup : day.customers()) {
            for (int i = 0; i < customerGroup.count(); i++) {
                String customer = customerGroup.name() + "-" + i;
                var customerRandom = random.split();
                if (customerGroup.arrivalPattern() == Day.ArrivalPattern.BURST) {
                    addBursts(day, customerGroup, customer, maxUnits, customerRandom, arrivals);
                    continue;
                }
                // Independent clients have exponential gaps between requests. The distribution over the nodes
                // is uneven and changes over time.
                double atSeconds = -Math.log(1 - customerRandom.nextDouble()) / customerGroup.rate();
                for (int sequence = 0; atSeconds < day.length().toNanos() / 1e9; sequence++) {
                    arrivals.add(
                            drawArrival(day, customerGroup, customer, sequence, atSeconds, maxUnits, customerRandom));
                    atSeconds += -Math.log(1 - customerRandom.nextDouble()) / customerGroup.rate();
                }
            }
        }
        for (Day.Trouble trouble : day.troubles()) {
            if (trouble.name().equals("hot_key")) {
                addHotKeyArrivals(day, trouble, maxUnits, random.split(), arrivals);
            }
        }
        arrivals.sort(Comparator.comparingLong(Arrival::at).thenComparing(Arrival::op));
        return arrivals;
    }

    /** Adds bursts that use up the quota's burst allowance within a tenth of a second, each when it must be full. */
    private static void addBursts(
            Day day,
            Day.Customers customerGroup,
            String customer,
            int maxUnits,
            SplittableRandom customerRandom,
            List<Arrival> arrivals) {
        var plan = day.settings().plans().stream()
                .filter(candidate -> candidate.name().equals(customerGroup.plan()))
                .findFirst()
                .orElseThrow();
        double intervalSeconds = 1.5 * plan.burst() / plan.rate();
        int sequence = 0;
        int burstNumber = 0;
        for (double atSeconds = intervalSeconds * customerRandom.nextDouble();
                atSeconds < day.length().toNanos() / 1e9;
                atSeconds += intervalSeconds) {
            int node = Math.floorMod(customer.hashCode() + burstNumber++, day.nodes());
            // The units reported in responses may exceed the estimates. The estimates therefore add up to 0.6 of the
            // burst allowance, so that the burst stays within it.
            for (double remainingUnits = 0.6 * plan.burst(); remainingUnits >= 1; ) {
                Arrival drawn = drawArrival(
                        day,
                        customerGroup,
                        customer,
                        sequence++,
                        atSeconds + 0.1 * customerRandom.nextDouble(),
                        (int) Math.min(remainingUnits, maxUnits),
                        customerRandom);
                remainingUnits -= drawn.units();
                arrivals.add(new Arrival(
                        drawn.at(),
                        drawn.op(),
                        customer,
                        drawn.plan(),
                        drawn.requestClass(),
                        drawn.units(),
                        drawn.patience(),
                        node));
            }
        }
    }

    private static void addHotKeyArrivals(
            Day day, Day.Trouble trouble, int maxUnits, SplittableRandom troubleRandom, List<Arrival> arrivals) {
        Day.Customers customerGroup = day.customers().stream()
                .filter(candidate -> candidate.plan().equals(trouble.target()))
                .findFirst()
                .orElse(day.customers().get(0));
        double fromSeconds = trouble.at().toNanos() / 1e9;
        double toSeconds = fromSeconds + trouble.len().toNanos() / 1e9;
        double rate = customerGroup.rate() * trouble.size();
        int sequence = 0;
        for (double atSeconds = fromSeconds;
                atSeconds < toSeconds;
                atSeconds += -Math.log(1 - troubleRandom.nextDouble()) / rate) {
            arrivals.add(drawArrival(
                    day,
                    customerGroup,
                    customerGroup.name() + "-0",
                    1_000_000 + sequence++,
                    atSeconds,
                    maxUnits,
                    troubleRandom));
        }
    }

    private static Arrival drawArrival(
            Day day,
            Day.Customers customerGroup,
            String customer,
            int sequence,
            double atSeconds,
            int maxUnits,
            SplittableRandom random) {
        String requestClass = drawClass(day.mix(), random);
        ClassSettings classSettings = day.settings().classes().stream()
                .filter(c -> c.name().equals(requestClass))
                .findFirst()
                .orElseThrow(() ->
                        new IllegalArgumentException("mix names the class " + requestClass + ", which is unknown"));
        double patienceShare =
                day.patience().get(0) + (day.patience().get(1) - day.patience().get(0)) * random.nextDouble();
        int node = chooseNode(day, customerGroup.arrivalPattern(), customer, atSeconds, random);
        return new Arrival(
                (long) (atSeconds * 1e9),
                customer + "." + sequence,
                customer,
                customerGroup.plan(),
                requestClass,
                1 + random.nextInt(maxUnits),
                (long) (classSettings.deadline().toNanos() * patienceShare),
                node);
    }

    private static int chooseNode(
            Day day, Day.ArrivalPattern pattern, String customer, double atSeconds, SplittableRandom random) {
        long customerHash = customer.hashCode();
        return switch (pattern) {
            case WEIGHTED -> {
                int preferredNode = (int) Math.floorMod(customerHash + (long) (atSeconds / 15), (long) day.nodes());
                yield random.nextDouble() < 0.6 ? preferredNode : random.nextInt(day.nodes());
            }
            case EVEN -> random.nextInt(day.nodes());
            case STAY, BURST -> (int) Math.floorMod(customerHash, (long) day.nodes());
            case MOVE -> (int) Math.floorMod(customerHash + (long) (atSeconds / 7), (long) day.nodes());
        };
    }

    private static String drawClass(Map<String, Double> mix, SplittableRandom random) {
        double remainingWeight =
                random.nextDouble() * mix.values().stream().mapToDouble(d -> d).sum();
        String requestClass = null;
        for (var entry : mix.entrySet()) {
            requestClass = entry.getKey();
            remainingWeight -= entry.getValue();
            if (remainingWeight < 0) {
                break;
            }
        }
        return requestClass;
    }
}
