/** HTTP/1.1 as required of a gateway between arbitrary clients and servers (RFC 9110, RFC 9112). */
package vetchpost.web;
