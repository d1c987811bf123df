/** The settings file of a process, read and checked: {@link yewjunction.settings.Settings}. */
package yewjunction.settings;
