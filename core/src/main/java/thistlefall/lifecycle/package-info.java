/** How connections and nodes come to their end without losing what they have taken. */
package thistlefall.lifecycle;
