/**
 * Reads the operator's file: parses it as a whole, or table by table so that a large file need not be in memory and
 * unchanged routes need not be parsed again.
 */
package vetchpost.routes.file;
