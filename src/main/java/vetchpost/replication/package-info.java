/**
 * How a configuration's changes travel from control machines to nodes: what is sent, what is taken in, when,
 * and what is done where two disagree; by messages and times that it is given, without a socket, a clock or a
 * disk. See {@code docs/changes.md}.
 */
package vetchpost.replication;
