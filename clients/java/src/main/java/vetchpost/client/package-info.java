/**
 * A client library for vetchpost's nodes over HTTP/1.1. Its retries and hedges keep to the guarantees and limits of the
 * nodes. Start with {@link vetchpost.client.Client}.
 */
package vetchpost.client;
