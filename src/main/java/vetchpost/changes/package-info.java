/**
 * Interprets the entries of a configuration: validates that they fit together, and builds the route table that
 * requests are looked up in. A change is validated here once, before it gets a version. It does no I/O. See
 * {@code docs/changes.md}.
 */
package vetchpost.changes;
