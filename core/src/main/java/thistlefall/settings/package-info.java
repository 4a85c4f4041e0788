/** The settings that a site hands to an instance, whichever way they came. */
package thistlefall.settings;
