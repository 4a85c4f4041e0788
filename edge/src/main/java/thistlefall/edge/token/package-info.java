/** OAuth 2.0 token introspection (RFC 7662), client side. */
package thistlefall.edge.token;
