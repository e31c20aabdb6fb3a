/** For the tests of those who use the client: a node that does what it is told. */
package vetchpost.client.testing;
