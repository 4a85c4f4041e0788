/**
 * The client side: pooled HTTP connections to app servers, each with one exchange at a time, and small calls to other
 * services.
 */
package thistlefall.edge.upstream;
