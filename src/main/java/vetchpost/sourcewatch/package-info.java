/** Asks sources and checks servers; what that comes to is decided in {@code vetchpost.sources}. */
package vetchpost.sourcewatch;
