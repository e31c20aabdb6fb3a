/**
 * The decisions of a client: which node gets an attempt, whether and when it is retried, and how a call ends. The
 * package does no I/O and has no threads and no clock: its caller passes in events and the time, and performs the
 * returned actions. {@code docs/client-protocol.md} defines the protocol; {@code clients/conformance} tests it.
 */
package vetchpost.client.core;
