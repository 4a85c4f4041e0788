package thistlefall.standin.trace;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Records what clients and emulated systems observe at their sockets, on one common time line. It never contains what
 * an edge node reports about itself. docs/trace.md explains each field. Bounded and thread-safe.
 */
public final class Trace {
    /**
     * One event of the trace, immutable. Absent values are null or 0; {@code t} is in nanoseconds since the start of
     * the trace. The component names are the JSON field names.
     */
    @JsonInclude(JsonInclude.Include.NON_DEFAULT)
    public record TraceEvent(
            long t,
            String who,
            String event,
            String id,
            String op,
            Integer attempt,
            String node,
            String server,
            String cls,
            String customer,
            String plan,
            double units,
            double work,
            double capacity,
            long within,
            String outcome,
            String key,
            String group,
            String reason) {
        /** Creates an event with only a time, an observer and an event name. */
        public static TraceEvent of(long t, String who, String event) {
            return new TraceEvent(
                    t, who, event, null, null, null, null, null, null, null, null, 0, 0, 0, 0, null, null, null, null);
        }

        /** Returns a copy with the request, its operation and its attempt number. */
        public TraceEvent request(String newId, String newOp, Integer newAttempt) {
            return new TraceEvent(
                    t,
                    who,
                    event,
                    newId,
                    newOp,
                    newAttempt,
                    node,
                    server,
                    cls,
                    customer,
                    plan,
                    units,
                    work,
                    capacity,
                    within,
                    outcome,
                    key,
                    group,
                    reason);
        }

        /** Returns a copy with the node and the server. */
        public TraceEvent withNodeAndServer(String newNode, String newServer) {
            return new TraceEvent(
                    t, who, event, id, op, attempt, newNode, newServer, cls, customer, plan, units, work, capacity,
                    within, outcome, key, group, reason);
        }

        /** Returns a copy with the request class, the customer, its plan and the units. */
        public TraceEvent of(String newClass, String newCustomer, String newPlan, double newUnits) {
            return new TraceEvent(
                    t,
                    who,
                    event,
                    id,
                    op,
                    attempt,
                    node,
                    server,
                    newClass,
                    newCustomer,
                    newPlan,
                    newUnits,
                    work,
                    capacity,
                    within,
                    outcome,
                    key,
                    group,
                    reason);
        }

        /** Returns a copy with the work of the request and the server's current capacity, in seconds of a warm core. */
        public TraceEvent withLoad(double newWork, double newCapacity) {
            return new TraceEvent(
                    t,
                    who,
                    event,
                    id,
                    op,
                    attempt,
                    node,
                    server,
                    cls,
                    customer,
                    plan,
                    units,
                    newWork,
                    newCapacity,
                    within,
                    outcome,
                    key,
                    group,
                    reason);
        }

        /** Returns a copy with the client's timeout in nanoseconds. */
        public TraceEvent within(long newWithin) {
            return new TraceEvent(
                    t, who, event, id, op, attempt, node, server, cls, customer, plan, units, work, capacity, newWithin,
                    outcome, key, group, reason);
        }

        /** Returns a copy with the outcome. */
        public TraceEvent outcome(String newOutcome) {
            return new TraceEvent(
                    t,
                    who,
                    event,
                    id,
                    op,
                    attempt,
                    node,
                    server,
                    cls,
                    customer,
                    plan,
                    units,
                    work,
                    capacity,
                    within,
                    newOutcome,
                    key,
                    group,
                    reason);
        }

        /** Returns a copy with the reason code that the response gives for a refusal. */
        public TraceEvent reason(String newReason) {
            return new TraceEvent(
                    t, who, event, id, op, attempt, node, server, cls, customer, plan, units, work, capacity, within,
                    outcome, key, group, newReason);
        }

        /** Returns a copy with the idempotency key and the group of servers that share it. */
        public TraceEvent key(String newKey, String newGroup) {
            return new TraceEvent(
                    t, who, event, id, op, attempt, node, server, cls, customer, plan, units, work, capacity, within,
                    outcome, newKey, newGroup, reason);
        }
    }

    private static final int MAX_EVENTS = 5_000_000;
    private static final ObjectMapper JSON = new ObjectMapper();
    private final long startedAt = System.nanoTime();
    private final List<TraceEvent> events = new ArrayList<>();
    private boolean truncated;

    /** Returns the nanoseconds since the start of the trace. */
    public long now() {
        return System.nanoTime() - startedAt;
    }

    /** Adds an event. Events beyond five million are dropped and mark the trace as truncated. */
    public synchronized void add(TraceEvent traceEvent) {
        if (events.size() < MAX_EVENTS) {
            events.add(traceEvent);
        } else {
            truncated = true;
        }
    }

    /** Creates an event with the current time; it is not added to the trace. */
    public TraceEvent event(String who, String event) {
        return TraceEvent.of(now(), who, event);
    }

    /** Whether events were dropped; a truncated trace must not be used for a verdict. */
    public synchronized boolean truncated() {
        return truncated;
    }

    /** Returns all events, sorted by time. */
    public synchronized List<TraceEvent> events() {
        List<TraceEvent> sorted = new ArrayList<>(events);
        sorted.sort(Comparator.comparingLong(TraceEvent::t));
        return sorted;
    }

    /** Writes {@code trace.jsonl} into a folder and returns the file. */
    public Path write(Path folder) throws IOException {
        Files.createDirectories(folder);
        Path file = folder.resolve("trace.jsonl");
        try (BufferedWriter out = Files.newBufferedWriter(file)) {
            for (TraceEvent traceEvent : events()) {
                out.write(JSON.writeValueAsString(traceEvent));
                out.newLine();
            }
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
        return file;
    }

    /** Reads the events of a file that {@link #write} wrote. */
    public static List<TraceEvent> read(Path file) throws IOException {
        List<TraceEvent> events = new ArrayList<>();
        for (String line : Files.readAllLines(file)) {
            events.add(JSON.readValue(line, TraceEvent.class));
        }
        return events;
    }
}
