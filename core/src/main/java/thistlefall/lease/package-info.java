/** Leases of units under a hard ceiling, granted through the shared counter. No I/O, no threads, no clock. */
package thistlefall.lease;
