package thistlefall.standin.day;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import thistlefall.edge.settings.NodeSettings;
import thistlefall.standin.app.AppSpec;

/**
 * A day to rehearse: a fleet, its customers and a script of troubles. docs/days.md explains each member.
 *
 * @param name name of the day
 * @param title short description
 * @param seed seed of all random draws
 * @param length how long clients send requests
 * @param nodes number of edge nodes
 * @param settings settings of the nodes without the addresses, which the rehearsal fills in
 * @param servers the app servers
 * @param work for each class, milliseconds that one unit takes on a core of speed 1
 * @param customers the groups of customers
 * @param mix for each class, its relative share of the requests
 * @param retries how often a client retries
 * @param backOff how long a client waits before a retry
 * @param patience bounds of the client's timeout as fractions of the class's deadline; each try draws a value between
 *     the two
 * @param drainGrace rule 3's grace period
 * @param allowance what the checkers allow for delays of the machine itself
 * @param troubles the script
 */
public record Day(
        String name,
        String title,
        long seed,
        Duration length,
        int nodes,
        NodeSettings settings,
        List<AppSpec> servers,
        Map<String, Double> work,
        List<Customers> customers,
        Map<String, Double> mix,
        int retries,
        Duration backOff,
        List<Double> patience,
        Duration drainGrace,
        Duration allowance,
        List<Trouble> troubles) {

    /**
     * A group of like customers.
     *
     * @param name prefix of their names, which a number follows
     * @param count number of customers
     * @param plan their plan
     * @param rate requests per second of each customer
     * @param way how their requests are spread over the nodes; null for {@link ArrivalPattern#WEIGHTED}
     */
    public record Customers(String name, int count, String plan, double rate, ArrivalPattern way) {
        /** The arrival pattern, with {@link ArrivalPattern#WEIGHTED} as the default. */
        public ArrivalPattern arrivalPattern() {
            return way == null ? ArrivalPattern.WEIGHTED : way;
        }
    }

    /** How a customer's requests are spread over nodes and time. */
    public enum ArrivalPattern {
        /** Three fifths through one node, which changes every 15 s; the others through random nodes. */
        WEIGHTED,
        /** Each request through a random node, all equally likely. */
        EVEN,
        /** All requests through one fixed node. */
        STAY,
        /** All requests through one node, and every 7 s all through the next. */
        MOVE,
        /**
         * A burst of most of the quota's burst size through one node, and after the quota has refilled the next burst
         * through the next node.
         */
        BURST
    }

    /**
     * A scripted disturbance.
     *
     * @param name its kind
     * @param at when it begins, from the start of the day
     * @param len how long it lasts
     * @param part the fraction of the servers or customers that it affects
     * @param size its size; the meaning depends on the kind
     * @param extra a second figure that some kinds need
     * @param target the node, zone, plan or server that it affects; null to draw one
     */
    public record Trouble(
            String name, Duration at, Duration len, double part, double size, double extra, String target) {}
}
