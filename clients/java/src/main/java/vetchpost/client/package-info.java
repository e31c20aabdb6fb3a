/**
 * Calls vetchpost's nodes over HTTP/1.1 without undoing what they promise. Begin with
 * {@link vetchpost.client.Client}.
 */
package vetchpost.client;
