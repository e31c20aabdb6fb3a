/** Operators' way in: the Unix socket and the file of records. What messages come to is {@code control}'s. */
package vetchpost.operations;
