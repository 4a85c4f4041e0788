/** The client side: connections to app servers, pooled, one exchange at a time; small calls to other services. */
package thistlefall.edge.upstream;
