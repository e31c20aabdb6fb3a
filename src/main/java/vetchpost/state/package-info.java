/**
 * Snapshots of what a node knows of its servers, and the rules for how far an old snapshot is trusted. Values and
 * pure functions without I/O. See {@code docs/state.md}.
 */
package vetchpost.state;
