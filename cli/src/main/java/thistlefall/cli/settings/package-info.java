/** Settings files: reads Jsonnet, binds it to records and validates it, reporting all errors at once with locations. */
package thistlefall.cli.settings;
