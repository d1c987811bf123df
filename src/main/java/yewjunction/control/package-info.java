/**
 * The system's configuration, replica names and voters, in the core's ledger, and its lease to
 * every tide.
 */
package yewjunction.control;
