/** The command thistlefall and the thin daemon. */
package thistlefall.cli;
