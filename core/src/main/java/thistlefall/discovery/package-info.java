/** Timeouts that decide when a watch on the server list counts as broken and when it is reopened. */
package thistlefall.discovery;
