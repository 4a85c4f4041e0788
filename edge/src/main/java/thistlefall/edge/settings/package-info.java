/** What an operator sets. Types only; they are checked where they are read, and decide nothing. */
package thistlefall.edge.settings;
