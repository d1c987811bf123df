/** Kept messages: admission at the leader, the messages on every vault, numbers and quotas. */
package yewjunction.store;
