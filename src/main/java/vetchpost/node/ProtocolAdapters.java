package vetchpost.node;

import vetchpost.http.Exchange;
import vetchpost.http.ManagedConnection;

/**
 * The protocols of a node that does not use the platform's.
 *
 * @param connectionInitializer sets up client connections
 * @param exchangeFactory creates the exchanges of attempts
 */
public record ProtocolAdapters(
        ManagedConnection.ConnectionInitializer connectionInitializer, Exchange.Factory exchangeFactory) {}
