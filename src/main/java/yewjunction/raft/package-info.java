/**
 * One replicated log by Raft: elections, replication, changes of voters, snapshots, and records on
 * disk. {@link yewjunction.raft.RaftNode} is where to start; {@link yewjunction.raft.StateMachine}
 * is what a user implements. The decisions touch neither sockets nor files: those come in as {@link
 * yewjunction.common.PeerTransport} and {@link yewjunction.raft.Disk}.
 */
package yewjunction.raft;
