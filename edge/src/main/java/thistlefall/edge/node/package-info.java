/**
 * The host of the decision module: turns what happens on sockets into events for the module and the module's actions
 * into bytes on sockets. Everything in one node runs on one event loop. The decisions themselves are made by the
 * module, the request tracker, the introspection cache and the server list tracker, never in this package.
 */
package thistlefall.edge.node;
