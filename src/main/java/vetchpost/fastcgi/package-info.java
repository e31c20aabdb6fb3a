/**
 * FastCGI 1.0, by its published specification: records, names and values, what a request's parameters come
 * to, what an application's answer says, and what each ending means for an attempt. {@code docs/fastcgi.md}.
 */
package vetchpost.fastcgi;
