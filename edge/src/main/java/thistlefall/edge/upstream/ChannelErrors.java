package thistlefall.edge.upstream;

import io.netty.channel.Channel;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reports what the handlers of a channel throw, so that no fault of the program passes unseen. Thread-safe. */
public final class ChannelErrors {
    private static final Logger LOG = LoggerFactory.getLogger("thistlefall.node");

    private ChannelErrors() {}

    /** Logs a throwable that closes a channel, unless it is an error of the connection, which peers cause at will. */
    public static void report(Channel channel, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOG.atError()
                    .addKeyValue("channel", String.valueOf(channel.remoteAddress()))
                    .setCause(cause)
                    .log("a connection was closed by an unexpected error");
        }
    }
}
