/**
 * The limits of requests by route: reads and validates the operator's file, finds the route of a request and applies
 * its limits. See {@code docs/routes.md}.
 */
package vetchpost.routes;
