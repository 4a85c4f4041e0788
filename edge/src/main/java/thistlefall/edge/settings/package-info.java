/** The settings of an edge node: records and their defaults. The settings are validated where they are read. */
package thistlefall.edge.settings;
