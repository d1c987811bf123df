/**
 * The system's configuration, replica names and voters, in the control group's log, and its lease
 * to every edge.
 */
package yewjunction.control;
