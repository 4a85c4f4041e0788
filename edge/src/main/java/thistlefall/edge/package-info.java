/** The library: sockets turned into events of the module, its actions into bytes. */
package thistlefall.edge;
