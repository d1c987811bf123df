/** The three duties of a process, each put together from its aggregates, without any socket. */
package yewjunction.node;
