/**
 * Which processes there are: failure detection and dissemination by SWIM, over datagrams. {@link
 * yewjunction.membership.MembershipList} is where to start.
 */
package yewjunction.membership;
