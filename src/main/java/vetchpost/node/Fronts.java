package vetchpost.node;

import vetchpost.http.ClientLine;
import vetchpost.http.Exchange;

/**
 * How a node speaks that is not the platform's.
 *
 * @param clients opens clients' connections
 * @param servers makes the exchanges of attempts
 */
public record Fronts(ClientLine.Opener clients, Exchange.Maker servers) {}
