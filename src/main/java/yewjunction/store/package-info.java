/** Kept messages: admission at the leader, the messages on every store, numbers and quotas. */
package yewjunction.store;
