package thistlefall.standin.app;

import java.time.Duration;

/**
 * Describes one emulated app server.
 *
 * @param id server id
 * @param zone the server's zone
 * @param cell the server's cell: the rack whose servers share a store of seen idempotency keys
 * @param kind machine kind
 * @param cores number of requests that run at the same time
 * @param speed speed of a core, relative to a reference core of speed 1
 * @param queue maximum number of queued requests; any further request is rejected as unseen
 * @param coldFrom share of its full capacity that the server has right after a start
 * @param coldSpan time after a start until the server is warm
 * @param fallMultiple a cold server goes down if it gets more than this multiple of its current capacity
 * @param fallSpan window over which that work is measured
 * @param standby whether the server is down, and on no server list, until a script lets the fleet grow
 */
public record AppSpec(
        String id,
        String zone,
        int cell,
        String kind,
        int cores,
        double speed,
        int queue,
        double coldFrom,
        Duration coldSpan,
        double fallMultiple,
        Duration fallSpan,
        boolean standby) {}
