/** Who is there: pings to a few peers in turn, second opinions, suspicion before removal. */
package yewjunction.membership;
