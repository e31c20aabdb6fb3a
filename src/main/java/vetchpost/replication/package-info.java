/**
 * Replication of configuration changes from control machines to nodes: publisher, replica, their frames, and
 * failover between publishers. Messages and times are passed in; this package has no socket, clock or disk. See
 * {@code docs/changes.md}.
 */
package vetchpost.replication;
