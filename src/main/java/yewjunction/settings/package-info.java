/** The settings file of a process, read and checked. */
package yewjunction.settings;
