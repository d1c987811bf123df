/** Clients' links: the line protocol, subscriptions, messages under way, moving clients on. */
package yewjunction.gateway;
