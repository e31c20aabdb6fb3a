/**
 * Overrides that operators request on a running node: leases, the safety check before each takes effect, and the audit
 * log's format. Performs no I/O and reads no clock.
 */
package vetchpost.control;
