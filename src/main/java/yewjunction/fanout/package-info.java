/**
 * From a store to its edges: committed messages in the order of the log, replays for subscriptions
 * that are taken up, and the exchange of the subscription set. {@link
 * yewjunction.fanout.StreamServer} and {@link yewjunction.fanout.StreamClient} are the two ends.
 */
package yewjunction.fanout;
