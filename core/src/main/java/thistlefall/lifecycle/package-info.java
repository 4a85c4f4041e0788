/** Shutdown of connections and nodes without the loss of accepted requests. */
package thistlefall.lifecycle;
