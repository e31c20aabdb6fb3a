/**
 * What operators have asked of a running node: overrides as leases, the judgement of each before it takes
 * effect, and the chain of records. No I/O and no clock.
 */
package vetchpost.control;
