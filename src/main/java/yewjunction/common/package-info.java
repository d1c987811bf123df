/**
 * What all packages share: the context an agent gives its owners, connections between nodes, the
 * message codec, log events, errors and exit codes. Depends on no other package but the constants.
 */
package yewjunction.common;
