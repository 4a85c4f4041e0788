/** Emulated outside systems around an edge node, rehearsals of scripted days, and checkers of the five rules. */
package thistlefall.standin;
