/** Who is there: probes to a few siblings in turn, second opinions, suspicion before removal. */
package yewjunction.roster;
