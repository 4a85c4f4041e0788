/** The settings that a site gives to a gateway instance, from any source. */
package thistlefall.settings;
