/** The command line and the processes it starts. */
package yewjunction.server;
