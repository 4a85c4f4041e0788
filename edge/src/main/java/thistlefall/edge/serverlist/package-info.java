/** Sources of the server list: a file, and blocking queries to Consul's published health API. */
package thistlefall.edge.serverlist;
