/** Reads and validates the settings of a node without a platform, from one operator's file. Performs no I/O. */
package vetchpost.standalone;
