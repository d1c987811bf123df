/** Maintenance windows from iCalendar files: which planned work explains what is seen. */
package yewjunction.maintenance;
