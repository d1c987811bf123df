/**
 * Clients' connections: the line protocol, subscriptions, messages under way, moving clients on.
 */
package yewjunction.gateway;
