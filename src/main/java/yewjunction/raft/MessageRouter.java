package yewjunction.raft;

import java.util.function.BiConsumer;
import yewjunction.common.PeerConnection;
import yewjunction.raft.RaftMessages.AppendEntriesRequest;
import yewjunction.raft.RaftMessages.AppendEntriesResponse;
import yewjunction.raft.RaftMessages.FetchRequest;
import yewjunction.raft.RaftMessages.FetchResponse;
import yewjunction.raft.RaftMessages.InstallSnapshotRequest;
import yewjunction.raft.RaftMessages.InstallSnapshotResponse;
import yewjunction.raft.RaftMessages.JoinRequest;
import yewjunction.raft.RaftMessages.TimeoutNowRequest;
import yewjunction.raft.RaftMessages.VoteRequest;
import yewjunction.raft.RaftMessages.VoteResponse;

/**
 * Registers the handlers of all messages of a group, and drops those that are for another group,
 * for an identity whose disk is gone, or for a member that has stopped.
 */
final class MessageRouter {
  private final RaftNode raftNode;
  private final FollowerState followerState;
  private final LeaderState leaderState;
  private final Election election;

  MessageRouter(
      final RaftNode raftNode,
      final FollowerState followerState,
      final LeaderState leaderState,
      final Election election) {
    this.raftNode = raftNode;
    this.followerState = followerState;
    this.leaderState = leaderState;
    this.election = election;
  }

  void registerHandlers() {
    raftNode.transport().onClose(raftNode::onClose);
    handle(FetchRequest.class, raftNode.relay()::onFetchRequest);
    handle(
        FetchResponse.class, (connection, response) -> raftNode.relay().onFetchResponse(response));
    handle(VoteRequest.class, followerState::onVoteRequest);
    handle(VoteResponse.class, (connection, response) -> election.onVoteResponse(response));
    handle(AppendEntriesRequest.class, followerState::onAppendEntries);
    handle(
        AppendEntriesResponse.class,
        (connection, response) -> leaderState.onAppendEntriesResponse(response));
    handle(InstallSnapshotRequest.class, followerState::onInstallSnapshot);
    handle(
        InstallSnapshotResponse.class,
        (connection, response) ->
            leaderState.snapshotTransfer().onInstallSnapshotResponse(response));
    handle(
        JoinRequest.class,
        (connection, request) -> {
          if (raftNode.isLeader()) {
            leaderState.onJoinRequest(request);
          } else if (request.forwarded == null && raftNode.leader() != null) {
            // The new member may not know the leader's machine yet; passed on once, so that it
            // never runs in circles.
            request.forwarded = true;
            raftNode.transport().connect(RaftNode.addressOf(raftNode.leader())).send(request);
          }
        });
    handle(
        TimeoutNowRequest.class,
        (connection, request) -> {
          // Only the leader of this very term may name its follower.
          if (request.term == raftNode.currentTerm()) {
            election.campaign(true);
          }
        });
  }

  private <T extends RaftMessages.RaftMessage> void handle(
      final Class<T> kind, final BiConsumer<PeerConnection, T> handler) {
    raftNode
        .transport()
        .onMessage(
            kind,
            (connection, message) -> {
              // Another group, or an identity whose disk is gone: not for this member.
              final boolean forThis =
                  message.group == raftNode.group()
                      && raftNode.identity() != null
                      && raftNode.handshakes().accept(connection, message);
              if (forThis && !raftNode.isStopped()) {
                handler.accept(connection, message);
              }
            });
  }
}
