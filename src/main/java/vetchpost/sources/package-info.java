/** Decides which servers are in the fleet, from several sources and health checks. Performs no I/O. */
package vetchpost.sources;
