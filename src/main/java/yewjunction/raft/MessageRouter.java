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

/** Brings a member the letters that are for it. */
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

  void listen() {
    raftNode.transport.onClose(raftNode::closed);
    on(FetchRequest.class, raftNode.relay::asked);
    on(FetchResponse.class, (connection, response) -> raftNode.relay.taken(response));
    on(VoteRequest.class, followerState::ask);
    on(VoteResponse.class, (connection, response) -> election.granted(response));
    on(AppendEntriesRequest.class, followerState::append);
    on(AppendEntriesResponse.class, (connection, response) -> leaderState.answered(response));
    on(InstallSnapshotRequest.class, followerState::image);
    on(
        InstallSnapshotResponse.class,
        (connection, response) -> leaderState.snapshotTransfer.answered(response));
    on(
        JoinRequest.class,
        (connection, request) -> {
          if (raftNode.leadsTerm()) {
            leaderState.learn(request);
          } else if (request.passedOn == null && raftNode.leader() != null) {
            // The newcomer may not know the leader's machine yet; passed on once, so that it never
            // runs in circles.
            request.passedOn = true;
            raftNode.transport.dial(RaftNode.address(raftNode.leader())).send(request);
          }
        });
    on(
        TimeoutNowRequest.class,
        (connection, request) -> {
          // Only the leader of this very term may name its follower.
          if (request.term == raftNode.storage.term) {
            election.stand(true);
          }
        });
  }

  private <T extends RaftMessages.RaftMessage> void on(
      final Class<T> kind, final BiConsumer<PeerConnection, T> handler) {
    raftNode.transport.on(
        kind,
        (connection, letter) -> {
          // Another group, or an identity whose disk is gone: not for this member.
          final boolean forThis =
              letter.group == raftNode.group
                  && raftNode.identity() != null
                  && raftNode.handshakes.heard(connection, letter);
          if (forThis && !raftNode.stopped()) {
            handler.accept(connection, letter);
          }
        });
  }
}
