/** Quota estimates and the calls to the shared counter. No I/O, no threads, no clock. */
package thistlefall.quota;
