package thistlefall.standin.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Assigns loopback addresses to zones and emulates network partitions between zones. Bytes sent across a partition are
 * dropped; a connection that lost bytes is closed when it next receives data after the partition has healed.
 * Thread-safe.
 */
public final class EmulatedNetwork {
    private final Map<String, String> zoneByAddress = new ConcurrentHashMap<>();
    private final Set<String> partitionedZones = ConcurrentHashMap.newKeySet();

    /** Assigns an address to a zone. */
    public void assignZone(String address, String zone) {
        zoneByAddress.put(address, zone);
    }

    /** Partitions a zone from all other zones. */
    public void partition(String zone) {
        partitionedZones.add(zone);
    }

    /** Ends the partition of a zone. */
    public void heal(String zone) {
        partitionedZones.remove(zone);
    }

    /** Whether bytes from an address reach a zone. An address without an assigned zone reaches every zone. */
    public boolean isReachable(String address, String zone) {
        String sourceZone = zoneByAddress.get(address);
        return sourceZone == null
                || zone == null
                || sourceZone.equals(zone)
                || !partitionedZones.contains(sourceZone) && !partitionedZones.contains(zone);
    }

    /** Creates a handler for one connection to a server in the zone; it must be the first in the pipeline. */
    public ChannelInboundHandlerAdapter linkHandler(String zone) {
        return new LinkHandler(zone);
    }

    /** Returns the IP address of a channel's peer; empty if it is not known. */
    public static String peerAddress(Channel channel) {
        return channel.remoteAddress() instanceof InetSocketAddress address
                ? address.getAddress().getHostAddress()
                : "";
    }

    private final class LinkHandler extends ChannelInboundHandlerAdapter {
        private final String zone;
        private boolean bytesLost;

        private LinkHandler(String zone) {
            this.zone = zone;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            boolean reachable = isReachable(peerAddress(context.channel()), zone);
            if (reachable && !bytesLost) {
                context.fireChannelRead(message);
            } else {
                ReferenceCountUtil.release(message);
                if (reachable) {
                    context.close();
                }
                bytesLost = true;
            }
        }
    }
}
