/**
 * The event loop of a node: an event loop of Netty whose passes are measured and bounded. Depends on no other package
 * of the node.
 */
package thistlefall.edge.loop;
