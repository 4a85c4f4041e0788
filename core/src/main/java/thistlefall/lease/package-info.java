/** Units of a hard ceiling lent through the shared counter, free of I/O, threads and clock. */
package thistlefall.lease;
