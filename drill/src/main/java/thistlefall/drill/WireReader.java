package thistlefall.drill;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import thistlefall.Gateway;
import thistlefall.Ports.ListKind;
import thistlefall.Ports.Outcome;
import thistlefall.Ports.Readiness;
import thistlefall.Ports.Request;
import thistlefall.Ports.Result;
import thistlefall.Ports.Server;
import thistlefall.settings.SettingsReader;

/**
 * Reads batches of the simulator's protocol, passes each event to its gateway, and ends the reply to each batch. A
 * value of {@code -} is absent and read as 0 or as an empty list.
 */
final class WireReader {
    private final BufferedReader input;
    private final WireWriter writer;
    private final Map<Integer, Gateway> gateways = new HashMap<>();
    private long lineNumber;
    private String line = "";
    private String[] tokens = {};
    private long now;

    WireReader(BufferedReader input, WireWriter writer) {
        this.input = input;
        this.writer = writer;
    }

    /** Processes batches until the input ends. */
    void run() throws IOException, WireFormatException {
        while (readLine()) {
            if (!tokens[0].equals("mark")) {
                throw malformed("a batch must begin with 'mark'");
            }
            now = longAt(1);
            while (true) {
                if (!readLine()) {
                    throw malformed("the input ended inside a batch, after");
                }
                if (tokens[0].equals("commit")) {
                    break;
                }
                handleEvent();
            }
            writer.endReply();
        }
    }

    private boolean readLine() throws IOException {
        String nextLine = input.readLine();
        if (nextLine == null) {
            return false;
        }
        line = nextLine;
        lineNumber++;
        tokens = line.split(" ");
        if (tokens.length == 0) {
            tokens = new String[] {""};
        }
        return true;
    }

    private void handleEvent() throws IOException, WireFormatException {
        int node = intAt(1);
        switch (tokens[0]) {
            case "start" -> {
                long seed = longAt(2);
                try {
                    gateways.put(
                            node, new Gateway(SettingsReader.read(settingsFrom(3)), seed, now, writer.actionsOf(node)));
                } catch (IllegalArgumentException e) {
                    throw malformed("bad settings (" + e.getMessage() + ")");
                }
            }
            case "retire" -> gateways.remove(node);
            case "view" -> handleServerList(node);
            case "ingress" -> startedGateway(node)
                    .request(
                            now,
                            new Request(
                                    textAt(2),
                                    intAt(3),
                                    intAt(4),
                                    longAt(5),
                                    longAt(6),
                                    doubleAt(7),
                                    intAt(8),
                                    intAt(9),
                                    (longAt(10) & 2) != 0));
            case "resolved" -> startedGateway(node)
                    .attemptEnded(
                            now,
                            new Result(
                                    textAt(2),
                                    outcomeAt(3),
                                    longAt(4),
                                    textAt(5),
                                    longAt(6) != 0,
                                    intAt(7),
                                    doubleAt(9),
                                    doublesAt(10)));
            case "client_gone" -> startedGateway(node).clientGone(now, textAt(2));
            case "under_way" -> startedGateway(node).streamStarted(now, textAt(2));
            case "count_result" -> startedGateway(node).counterCallEnded(now, longAt(4), outcomeAt(3), doubleAt(2));
            case "probed" -> startedGateway(node).probeEnded(now, textAt(4), outcomeAt(3), longAt(2), doublesAt(5));
            case "reminder" -> startedGateway(node).timerExpired(now, longAt(2));
            case "memo" -> startedGateway(node);
            default -> throw malformed("unknown event");
        }
    }

    /** Returns the settings in the rest of the line, which holds path=value pairs. */
    private Map<String, String> settingsFrom(int start) {
        Map<String, String> pairs = new HashMap<>();
        for (int i = start; i < tokens.length; i++) {
            int equalsSign = tokens[i].indexOf('=');
            if (equalsSign < 1) {
                throw new IllegalArgumentException("'" + tokens[i] + "' is not path=value");
            }
            pairs.put(tokens[i].substring(0, equalsSign), tokens[i].substring(equalsSign + 1));
        }
        return pairs;
    }

    private void handleServerList(int node) throws IOException, WireFormatException {
        Gateway gateway = startedGateway(node);
        ListKind kind =
                switch (intAt(3)) {
                    case 0 -> ListKind.FULL;
                    case 1 -> ListKind.CACHED;
                    case 2 -> ListKind.DELTA;
                    case 3 -> ListKind.FAILED;
                    default -> throw malformed("unknown kind of list");
                };
        int count = intAt(4);
        List<Server> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            if (!readLine() || !tokens[0].equals("entry")) {
                throw malformed("'entry' expected");
            }
            Readiness readiness =
                    switch (intAt(3)) {
                        case 0 -> Readiness.GONE;
                        case 1 -> Readiness.READY;
                        case 2 -> Readiness.DRAINING;
                        default -> throw malformed("unknown readiness");
                    };
            entries.add(new Server(textAt(6), doubleAt(1), intAt(2), intAt(5), intAt(7), readiness, longAt(4)));
        }
        gateway.serverListUpdated(now, kind, entries);
    }

    private Gateway startedGateway(int node) throws WireFormatException {
        Gateway gateway = gateways.get(node);
        if (gateway == null) {
            throw malformed("instance " + node + " was not started");
        }
        return gateway;
    }

    private Outcome outcomeAt(int index) throws WireFormatException {
        return switch (textAt(index)) {
            case "S" -> Outcome.OK;
            case "E" -> Outcome.ERROR;
            case "F" -> Outcome.FULL;
            case "T" -> Outcome.TIMEOUT;
            case "C" -> Outcome.CONNECT_FAILED;
            case "R" -> Outcome.RESET;
            case "X" -> Outcome.CANCELLED;
            case "N" -> Outcome.NOT_SENT;
            default -> throw malformed("unknown outcome");
        };
    }

    private String textAt(int index) throws WireFormatException {
        if (index >= tokens.length || tokens[index].isEmpty()) {
            throw malformed("value " + index + " is missing");
        }
        return tokens[index];
    }

    private boolean isAbsent(int index) throws WireFormatException {
        return textAt(index).equals("-");
    }

    private int intAt(int index) throws WireFormatException {
        long value = longAt(index);
        if (value != (int) value) {
            throw malformed("value " + index + " is out of range");
        }
        return (int) value;
    }

    private long longAt(int index) throws WireFormatException {
        try {
            return isAbsent(index) ? 0 : Long.parseLong(tokens[index]);
        } catch (NumberFormatException e) {
            throw malformed("value " + index + " is not a whole number");
        }
    }

    private double doubleAt(int index) throws WireFormatException {
        try {
            double value = isAbsent(index) ? 0 : Double.parseDouble(tokens[index]);
            if (!Double.isFinite(value)) {
                throw malformed("value " + index + " is not finite");
            }
            return value;
        } catch (NumberFormatException e) {
            throw malformed("value " + index + " is not a number");
        }
    }

    private List<Double> doublesAt(int index) throws WireFormatException {
        List<Double> values = new ArrayList<>();
        if (index < tokens.length && !isAbsent(index)) {
            for (String value : tokens[index].split(",")) {
                try {
                    values.add(Double.parseDouble(value));
                } catch (NumberFormatException e) {
                    throw malformed("value " + index + " is not a list of numbers");
                }
            }
        }
        return values;
    }

    private WireFormatException malformed(String reason) {
        return new WireFormatException(lineNumber, line, reason);
    }
}
