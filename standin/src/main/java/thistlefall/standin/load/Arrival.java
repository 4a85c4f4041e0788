package thistlefall.standin.load;

/**
 * An operation that a client starts at a given time and tries until it gets a response or the client gives up.
 *
 * @param at start time in nanoseconds from the start of the day
 * @param op operation id
 * @param customer customer that sends the request
 * @param plan the customer's plan
 * @param requestClass name of the request class
 * @param units estimated units, sent with the request
 * @param patience timeout of one try, in nanoseconds
 * @param node index of the node that gets the first try
 */
public record Arrival(
        long at, String op, String customer, String plan, String requestClass, int units, long patience, int node) {}
