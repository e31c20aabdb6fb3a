/**
 * What a caller of vetchpost's nodes decides: which node gets an attempt, whether and when it is repeated,
 * and how a call has ended. No I/O, no threads, no clock: it is told of events and the time, and says what to
 * do. The protocol is in {@code docs/client-protocol.md}; {@code clients/conformance} holds it to that.
 */
package vetchpost.client.core;
