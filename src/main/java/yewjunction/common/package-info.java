/**
 * What all aggregates share: the clock and queue they are given, connections, messages, events,
 * failures, constants.
 */
package yewjunction.common;
