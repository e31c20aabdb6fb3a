/** What one operator's file says of a node without a platform; read and proved, without I/O. */
package vetchpost.standalone;
