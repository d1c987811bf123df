/**
 * What all aggregates share: the clock and queue they are given, links, letters, events, defects,
 * constants.
 */
package yewjunction.common;
