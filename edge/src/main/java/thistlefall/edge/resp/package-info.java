/** The shared counter over RESP2, the protocol that Redis publishes. */
package thistlefall.edge.resp;
