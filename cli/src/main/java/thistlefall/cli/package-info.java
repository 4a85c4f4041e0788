/** The command {@code thistlefall}: its sub-commands, among them {@code run}, the daemon of one edge node. */
package thistlefall.cli;
