/** One replicated log: elections, replication, voters, snapshots, and its records on disk. */
package yewjunction.raft;
