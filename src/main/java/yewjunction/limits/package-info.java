/**
 * Every tuning constant of the servers and tools, by concern. A constant says its unit in its name
 * and, in its comment, why it has the value it has.
 */
package yewjunction.limits;
