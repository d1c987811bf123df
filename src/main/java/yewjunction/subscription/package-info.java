/**
 * The replicated set of subscriptions, a state-based CRDT: {@link
 * yewjunction.subscription.AddWinsSet}. How states travel is the business of yewjunction.fanout.
 */
package yewjunction.subscription;
