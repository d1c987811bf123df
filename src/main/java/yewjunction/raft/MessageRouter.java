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
  private final RaftNode ledger;
  private final FollowerState following;
  private final LeaderState leading;
  private final Election election;

  MessageRouter(
      final RaftNode ledger,
      final FollowerState following,
      final LeaderState leading,
      final Election election) {
    this.ledger = ledger;
    this.following = following;
    this.leading = leading;
    this.election = election;
  }

  void listen() {
    ledger.post.onClose(ledger::closed);
    on(FetchRequest.class, ledger.relay::asked);
    on(FetchResponse.class, (link, fetched) -> ledger.relay.taken(fetched));
    on(VoteRequest.class, following::ask);
    on(VoteResponse.class, (link, answer) -> election.granted(answer));
    on(AppendEntriesRequest.class, following::append);
    on(AppendEntriesResponse.class, (link, answer) -> leading.answered(answer));
    on(InstallSnapshotRequest.class, following::image);
    on(InstallSnapshotResponse.class, (link, answer) -> leading.images.answered(answer));
    on(
        JoinRequest.class,
        (link, join) -> {
          if (ledger.leadsTerm()) {
            leading.learn(join);
          } else if (join.passedOn == null && ledger.leader() != null) {
            // The newcomer may not know the leader's machine yet; passed on once, so that it never
            // runs in circles.
            join.passedOn = true;
            ledger.post.dial(RaftNode.address(ledger.leader())).send(join);
          }
        });
    on(
        TimeoutNowRequest.class,
        (link, handOver) -> {
          // Only the leader of this very term may name its follower.
          if (handOver.term == ledger.archive.term) {
            election.stand(true);
          }
        });
  }

  private <T extends RaftMessages.RaftMessage> void on(
      final Class<T> kind, final BiConsumer<PeerConnection, T> handler) {
    ledger.post.on(
        kind,
        (link, letter) -> {
          // Another group, or an identity whose disk is gone: not for this member.
          final boolean forThis =
              letter.group == ledger.group
                  && ledger.identity() != null
                  && ledger.introductions.heard(link, letter);
          if (forThis && !ledger.stopped()) {
            handler.accept(link, letter);
          }
        });
  }
}
