/** The customers that a gateway knows: how many it remembers, and which it forgets first. */
package thistlefall.customer;
