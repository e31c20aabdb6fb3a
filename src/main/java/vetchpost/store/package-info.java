/**
 * The versioned store of a configuration's entries: persistent, packed, with sums by range, so that a change
 * costs what it changes. No I/O, and no word of what the entries mean. See {@code docs/changes.md}.
 */
package vetchpost.store;
