/** Authenticated connections between nodes that share a secret, and the handover of a snapshot to a starting node. */
package vetchpost.handover;
