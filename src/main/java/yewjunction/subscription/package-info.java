/**
 * The optimised add-wins set of subscriptions, one replica on every process that reads or writes
 * it.
 */
package yewjunction.subscription;
