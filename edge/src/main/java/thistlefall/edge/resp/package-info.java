/** The shared counter, spoken to in RESP2 as Redis publishes it. */
package thistlefall.edge.resp;
