/** Stand-ins for the systems around an edge node, days of trouble, checkers of the rules. */
package thistlefall.standin;
