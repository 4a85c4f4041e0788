/**
 * How much of the input of one client is handled at once, so that the others do not wait for it. Free of I/O, threads
 * and clocks.
 */
package thistlefall.turn;
