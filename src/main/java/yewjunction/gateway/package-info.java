/**
 * Clients' connections at an edge: the line protocol, subscriptions, messages on their way to the
 * leader, moving clients on. {@link yewjunction.gateway.ClientRegistry} is where to start.
 */
package yewjunction.gateway;
