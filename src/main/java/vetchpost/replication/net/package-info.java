/** Network connections of replication: a publisher's server and a replica's client. */
package vetchpost.replication.net;
