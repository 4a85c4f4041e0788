package thistlefall.edge.serverlist;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Reads the server list from a file, outside the event loop every tenth of a second, and reports it when the bytes have
 * changed. While the file is missing, half written or invalid, the last valid list remains in effect.
 */
public final class FileServerListSource implements ServerListSource {
    private static final long POLL_INTERVAL_MILLIS = 100;
    private static final int MAX_BYTES = 16 << 20;

    private final EventLoop loop;
    private final Path file;
    private final ServerListParser parser;
    private final ScheduledExecutorService fileExecutor =
            Executors.newSingleThreadScheduledExecutor(new DefaultThreadFactory("thistlefall-list", true));
    private byte[] lastContent;
    private String lastFailure;
    private long index;

    /** A source that reads this file. */
    public FileServerListSource(EventLoop loop, Path file, ServerListParser parser) {
        this.loop = loop;
        this.file = file;
        this.parser = parser;
    }

    @Override
    public void start(ServerListListener listener) {
        fileExecutor.scheduleWithFixedDelay(() -> readFile(listener), 0, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void readFile(ServerListListener listener) {
        try {
            if (Files.size(file) > MAX_BYTES) {
                throw new IOException("the file is larger than " + MAX_BYTES + " bytes");
            }
            byte[] bytes = Files.readAllBytes(file);
            if (!Arrays.equals(bytes, lastContent)) {
                List<ServerEndpoint> servers = parser.parseFile(bytes);
                lastContent = bytes;
                long newIndex = ++index;
                loop.execute(() -> listener.fullList(newIndex, servers));
            }
            lastFailure = null;
        } catch (IOException | ServerListParser.InvalidServerListException e) {
            String failure =
                    file + ": " + (e instanceof java.nio.file.NoSuchFileException ? "no such file" : e.getMessage());
            if (!failure.equals(lastFailure)) {
                lastFailure = failure;
                loop.execute(() -> listener.sourceFailed(failure));
            }
        }
    }

    @Override
    public void stop() {
        fileExecutor.shutdownNow();
    }
}
