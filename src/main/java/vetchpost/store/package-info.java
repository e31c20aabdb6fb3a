/**
 * The versioned store of a configuration's entries. It is persistent and packed and has sums by range, so that the
 * cost of a change depends on the change and not on the number of entries. It does no I/O and does not interpret
 * the entries. See {@code docs/changes.md}.
 */
package vetchpost.store;
