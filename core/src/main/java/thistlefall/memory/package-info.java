/** Division of a node's memory for client data between the connections of its clients. */
package thistlefall.memory;
