/**
 * HTTP/1.1 message syntax and framing by RFC 9112, for the server and the client side. Decoders turn bytes into message
 * heads, body pieces and ends of messages; the writer does the reverse. An ambiguous message is rejected, never
 * repaired.
 */
package thistlefall.edge.http;
