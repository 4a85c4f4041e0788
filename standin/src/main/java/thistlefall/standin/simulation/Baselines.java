package thistlefall.standin.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import thistlefall.Ports.Outcome;
import thistlefall.Ports.Plan;
import thistlefall.Ports.Request;

/** Simple strategies to compare the decision module with. Not for production use. */
final class Baselines {
    private Baselines() {}

    /** Token bucket that starts full. */
    private static final class TokenBucket {
        private final double rate;
        private final double burst;
        private double units;
        private long refilledAt;

        private TokenBucket(double rate, double burst, long now) {
            this.rate = rate;
            this.burst = burst;
            units = burst;
            refilledAt = now;
        }

        private boolean tryTake(double amount, long now) {
            units = Math.min(burst, units + (now - refilledAt) / 1e9 * rate);
            refilledAt = now;
            boolean hasRoom = units >= amount;
            units -= hasRoom ? amount : 0;
            return hasRoom;
        }

        private void giveBack(double amount) {
            units = Math.min(burst, units + amount);
        }
    }

    /**
     * Takes the estimated units of admitted requests from token buckets and corrects them once the true units are
     * known.
     */
    private abstract static class BucketStrategy implements AdmissionStrategy {
        final Map<Long, TokenBucket> buckets;
        final AdmissionStrategy.AdmissionListener listener;
        private final Map<String, Request> pendingRequests = new HashMap<>();

        private BucketStrategy(Map<Long, TokenBucket> buckets, AdmissionStrategy.AdmissionListener listener) {
            this.buckets = buckets;
            this.listener = listener;
        }

        final void admit(Request request) {
            pendingRequests.put(request.id(), request);
            listener.sent(request.id());
        }

        @Override
        public final void kill() {
            pendingRequests.clear();
        }

        @Override
        public final void completed(String id, double trueUnits, long duration) {
            Request request = pendingRequests.remove(id);
            TokenBucket bucket = request == null ? null : buckets.get(request.customer());
            if (bucket != null) {
                bucket.giveBack(request.units() - trueUnits);
            }
        }
    }

    /** Gives each node a fixed share of each quota, one divided by the number of nodes, without any shared state. */
    static final class FixedShareStrategy extends BucketStrategy {
        private final VirtualTimeScheduler scheduler;
        private final List<Plan> plans;
        private final int nodes;

        FixedShareStrategy(
                VirtualTimeScheduler scheduler,
                List<Plan> plans,
                int nodes,
                AdmissionStrategy.AdmissionListener listener) {
            super(new HashMap<>(), listener);
            this.scheduler = scheduler;
            this.plans = plans;
            this.nodes = nodes;
        }

        @Override
        public void request(Request request) {
            Plan plan = plans.get(request.plan());
            TokenBucket bucket = buckets.computeIfAbsent(
                    request.customer(),
                    c -> new TokenBucket(plan.rate() / nodes, plan.burst() / nodes, scheduler.now()));
            if (plan.rate() <= 0
                    || plan.overQuotaEarnings() > plan.overQuotaCost()
                    || bucket.tryTake(request.units(), scheduler.now())) {
                admit(request);
            } else {
                listener.refused(request.id(), "fixed part");
            }
        }
    }

    /**
     * Keeps one bucket for each customer at the counter and makes one counter call for each request, so that every
     * decision sees the exact total.
     */
    static final class CentralBucketStrategy extends BucketStrategy {
        /** The buckets that all nodes share. */
        static final class SharedBuckets {
            private final Map<Long, TokenBucket> buckets = new HashMap<>();
        }

        private final VirtualTimeScheduler scheduler;
        private final SimulatedCounter counter;
        private final List<Plan> plans;
        private final boolean failOpen;

        CentralBucketStrategy(
                VirtualTimeScheduler scheduler,
                SimulatedCounter counter,
                List<Plan> plans,
                SharedBuckets sharedBuckets,
                boolean failOpen,
                AdmissionStrategy.AdmissionListener listener) {
            super(sharedBuckets.buckets, listener);
            this.scheduler = scheduler;
            this.counter = counter;
            this.plans = plans;
            this.failOpen = failOpen;
        }

        @Override
        public void request(Request request) {
            Plan plan = plans.get(request.plan());
            counter.add(request.customer(), 0, 1, (outcome, total) -> {
                TokenBucket bucket = buckets.computeIfAbsent(
                        request.customer(), c -> new TokenBucket(plan.rate(), plan.burst(), scheduler.now()));
                boolean overuseWelcome = plan.rate() <= 0 || plan.overQuotaEarnings() > plan.overQuotaCost();
                boolean admitted = outcome == Outcome.OK
                        ? bucket.tryTake(request.units(), scheduler.now()) || overuseWelcome
                        : failOpen;
                if (admitted) {
                    admit(request);
                } else {
                    listener.refused(request.id(), outcome == Outcome.OK ? "no room" : "counter");
                }
            });
        }
    }
}
