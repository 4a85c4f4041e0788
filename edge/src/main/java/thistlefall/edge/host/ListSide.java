package thistlefall.edge.host;

import io.netty.channel.EventLoop;
import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import thistlefall.Ports.ListKind;
import thistlefall.Ports.Server;
import thistlefall.edge.list.ConsulList;
import thistlefall.edge.list.FileList;
import thistlefall.edge.list.ListReader;
import thistlefall.edge.list.ListSource;
import thistlefall.edge.list.Listed;
import thistlefall.edge.settings.NodeSettings;
import thistlefall.roster.Roster;

/** Follows the server list: from its source through the roster's guard to the pools and the module. */
final class ListSide implements ListSource.Listener {
    /** Hears of changes that the roster lets through. */
    interface Changed {
        /** The list or a part of it. */
        void changed(ListKind kind, List<Server> entries);
    }

    private static final long HOLD = 3_000_000_000L;

    private final String node;
    private final EventLoop loop;
    private final Logger log;
    private final NodeCounts counts;
    private final Upstreams upstreams;
    private final Changed changed;
    private final Roster roster = new Roster(new Roster.Policy(0.5, HOLD));
    private final ListSource source;

    ListSide(NodeSettings settings, EventLoop loop, long seed, NodeCounts counts, Upstreams upstreams, Logger log,
             Changed changed) {
        node = settings.node().name();
        this.loop = loop;
        this.counts = counts;
        this.upstreams = upstreams;
        this.log = log;
        this.changed = changed;
        ListReader reader = new ListReader(settings.zones() == null ? List.of() : settings.zones(),
            settings.kinds() == null ? List.of() : settings.kinds());
        var s = settings.servers();
        source = s.file() != null ? new FileList(loop, Path.of(s.file()), reader)
            : new ConsulList(loop, URI.create(s.consul()), s.service(), reader, seed, settings.node().sourceAddress());
    }

    void start(Seams seams) {
        source.start(seams.list(this));
    }

    void stop() {
        source.stop();
    }

    @Override
    public void list(long index, List<Listed> listed) {
        upstreams.addresses(listed);
        Roster.Change change = roster.full(System.nanoTime(), index, listed.stream().map(Listed::server).toList());
        if (change.note() != null) {
            log.atWarn().addKeyValue("node", node).log(change.note());
            if (change.kind() != null || !listed.isEmpty()) {
                loop.schedule(() -> list(index, listed), HOLD + 100_000_000L, TimeUnit.NANOSECONDS);
            }
        }
        upstreams.list(roster.servers());
        if (change.kind() != null) {
            changed.changed(change.kind(), change.entries());
        }
    }

    @Override
    public void failed(String reason) {
        log.atWarn().addKeyValue("node", node).log(reason);
        roster.failed();
        counts.listFailures++;
    }

    @Override
    public void reset() {
        roster.sourceReset();
    }
}
