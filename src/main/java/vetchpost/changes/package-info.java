/**
 * What the entries of a configuration mean: which of them fit together, and the table that requests are
 * looked up in. A change is proved here once, before it has a version. No I/O. See {@code docs/changes.md}.
 */
package vetchpost.changes;
