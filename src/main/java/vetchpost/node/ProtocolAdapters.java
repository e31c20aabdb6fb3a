package vetchpost.node;

import vetchpost.http.Exchange;
import vetchpost.http.ManagedConnection;

/**
 * How a node speaks that is not the platform's.
 *
 * @param clients opens clients' connections
 * @param servers makes the exchanges of attempts
 */
public record ProtocolAdapters(
        ManagedConnection.ConnectionInitializer connectionInitializer, Exchange.Factory exchangeFactory) {}
