/** The operators' interface: the Unix socket and the audit log file. {@code control} handles the messages. */
package vetchpost.operations;
