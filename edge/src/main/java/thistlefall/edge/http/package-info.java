/**
 * HTTP/1.1 message syntax and framing by RFC 9112, server and client side. Handlers turn bytes into heads, body
 * pieces and ends, and back; what is ambiguous is refused, never repaired.
 */
package thistlefall.edge.http;
