/** Which servers there are, by several sources and by checks; every decision of it, and no I/O. */
package vetchpost.sources;
