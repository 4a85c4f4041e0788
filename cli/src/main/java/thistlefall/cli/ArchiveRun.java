package thistlefall.cli;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import sun.misc.Signal;
import thistlefall.platform.node.PlatformProcess;
import thistlefall.standin.platform.PlatformEnvironment;

/**
 * Training run for the class-data archive: runs a platform node against stand-ins from its start to SIGTERM, with one
 * reload (SIGHUP) in between. The build runs it once to record which classes a node loads, so that the virtual machine
 * can map them from the archive at each later start. Exit status 0 if the node served at least one request and stopped
 * cleanly.
 */
final class ArchiveRun {
    private static final int REQUESTS = 200;

    private ArchiveRun() {}

    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("thistlefall");
        Path configFile = folder.resolve("config.json");
        int served;
        int status;
        try (var environment = new PlatformEnvironment(2)) {
            environment.configure(configFile);
            var trainingRun = new TrainingRun(configFile);
            var nodeThread = new Thread(trainingRun, "node");
            nodeThread.start();
            served = sendRequests(environment);
            Signal.raise(new Signal("HUP"));
            served += sendRequests(environment);
            Signal.raise(new Signal("TERM"));
            nodeThread.join();
            status = trainingRun.status;
        }
        Files.delete(configFile);
        Files.delete(folder);
        System.err.println("served " + served + " of " + 2 * REQUESTS);
        System.exit(status == 0 && served > 0 ? 0 : Main.COULD_NOT_RUN);
    }

    /** Runs the node in a thread of its own and keeps the node's exit status. */
    private static final class TrainingRun implements Runnable {
        private final Path configFile;
        private volatile int status;

        private TrainingRun(Path configFile) {
            this.configFile = configFile;
        }

        @Override
        public void run() {
            status = PlatformProcess.run(configFile);
        }
    }

    /** Sends {@link #REQUESTS} requests over one connection; returns the number of responses with status 200. */
    private static int sendRequests(PlatformEnvironment environment) throws IOException, InterruptedException {
        try (Socket socket = connect(environment)) {
            int servedCount = 0;
            for (int i = 0; i < REQUESTS; i++) {
                socket.getOutputStream().write(formatRequest(i).getBytes(StandardCharsets.US_ASCII));
                servedCount += readResponse(socket.getInputStream()).startsWith("HTTP/1.1 200") ? 1 : 0;
            }
            return servedCount;
        }
    }

    /** Connects with retries, as the node may not listen yet: up to 100 retries, 100 ms apart. */
    private static Socket connect(PlatformEnvironment environment) throws IOException, InterruptedException {
        for (int attempt = 0; ; attempt++) {
            try {
                var socket = new Socket(
                        environment.node().getAddress(), environment.node().getPort());
                socket.setSoTimeout(10_000);
                return socket;
            } catch (IOException e) {
                if (attempt == 100) {
                    throw e;
                }
                Thread.sleep(100);
            }
        }
    }

    private static String formatRequest(int number) {
        String headerFields = " HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: " + String.format("%016x", number)
                + "\r\nX-Tariff: " + (number % 4 == 0 ? "basic" : "corridor") + "\r\nX-Subscriber: "
                + String.format("%016x", number % 20)
                + "\r\nX-Expires-In: 0.900\r\nX-Weight: units=1,spread=2,first=0\r\n";
        return switch (number % 3) {
            case 0 -> "GET /lookup" + headerFields + "\r\n";
            case 1 -> "POST /booking" + headerFields + "Idempotency-Key: k" + number
                    + "\r\nContent-Length: 2\r\n\r\n{}";
            default -> "POST /payment" + headerFields + "Content-Length: 2\r\n\r\n{}";
        };
    }

    /** Reads one response, skips its body and returns its head. */
    private static String readResponse(InputStream in) throws IOException {
        var headBuilder = new StringBuilder();
        while (headBuilder.indexOf("\r\n\r\n") < 0) {
            int nextByte = in.read();
            if (nextByte < 0) {
                throw new IOException("the node closed the connection");
            }
            headBuilder.append((char) nextByte);
        }
        String head = headBuilder.toString();
        int lengthIndex = head.indexOf("Content-Length: ");
        in.readNBytes(Integer.parseInt(head.substring(lengthIndex + 16, head.indexOf('\r', lengthIndex))));
        return head;
    }
}
