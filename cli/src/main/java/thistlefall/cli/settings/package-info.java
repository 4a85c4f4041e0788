/** Settings files: Jsonnet read, bound to records and checked, every fault told at once with its place. */
package thistlefall.cli.settings;
