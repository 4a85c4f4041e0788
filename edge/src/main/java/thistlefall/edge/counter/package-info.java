/** The client of the shared counter, independent of the protocol of the counter. */
package thistlefall.edge.counter;
