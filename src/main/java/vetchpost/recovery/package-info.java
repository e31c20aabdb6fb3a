/** Restores a node at start from a stored snapshot, probes and handovers, and stores its state while it runs. */
package vetchpost.recovery;
