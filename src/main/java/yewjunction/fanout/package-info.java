/**
 * From a serving store store to its edges: committed messages in index order, subscriptions taken
 * up, the leader's address.
 */
package yewjunction.fanout;
