/**
 * FastCGI 1.0 as published: records, name-value pairs, conversion of requests and responses to HTTP, and the result of
 * an attempt. See {@code docs/fastcgi.md}.
 */
package vetchpost.fastcgi;
