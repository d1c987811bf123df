/** The agent that owns a process's tables, and its sockets. */
package yewjunction.transport;
