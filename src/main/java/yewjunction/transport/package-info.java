/**
 * The agent that owns a process's state, and its sockets: {@link
 * yewjunction.transport.EventLoopAgent}.
 */
package yewjunction.transport;
