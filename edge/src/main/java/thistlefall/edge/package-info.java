/**
 * The Netty host: turns bytes from sockets into events for the decision module, and the actions of that module into
 * bytes.
 */
package thistlefall.edge;
