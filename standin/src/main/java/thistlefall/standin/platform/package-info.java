/** Stand-ins for what surrounds a node on the users' platform, written from the page of its protocol. */
package thistlefall.standin.platform;
