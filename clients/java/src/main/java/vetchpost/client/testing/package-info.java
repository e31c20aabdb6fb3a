/** A scripted node for tests of applications that use the client. */
package vetchpost.client.testing;
