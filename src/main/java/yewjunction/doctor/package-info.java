/**
 * Looks for common faults from outside: settings, operator addresses, readiness, a data folder.
 * Changes nothing.
 */
package yewjunction.doctor;
