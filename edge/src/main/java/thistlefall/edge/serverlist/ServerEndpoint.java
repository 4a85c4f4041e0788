package thistlefall.edge.serverlist;

import java.net.SocketAddress;
import thistlefall.Ports.Server;

/** A server of the list and its network address. */
public record ServerEndpoint(Server server, SocketAddress address) {}
