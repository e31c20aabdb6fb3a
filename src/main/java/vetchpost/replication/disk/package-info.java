/** Stores a replica's configuration on the disk. */
package vetchpost.replication.disk;
