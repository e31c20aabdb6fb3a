/** HTTP/1.1 as a gateway for any client and any server has to speak it (RFC 9110, RFC 9112). */
package vetchpost.web;
