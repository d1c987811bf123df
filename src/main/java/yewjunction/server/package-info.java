/**
 * A server process around a node: threads, sockets, signals, HTTP. Start at {@link
 * yewjunction.server.ServerProcess}.
 */
package yewjunction.server;
