/** Emulated systems around a node on the users' platform, written from the page that describes its protocols. */
package thistlefall.standin.platform;
