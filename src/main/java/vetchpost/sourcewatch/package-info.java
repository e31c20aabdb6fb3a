/** Queries sources and runs health checks; {@code vetchpost.sources} decides what follows from them. */
package vetchpost.sourcewatch;
