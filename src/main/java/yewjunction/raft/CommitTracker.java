package yewjunction.raft;

import static yewjunction.limits.StorageLimits.MAX_CATCH_UP_TAIL_BYTES;
import static yewjunction.limits.StorageLimits.MAX_CATCH_UP_TAIL_ENTRIES;
import static yewjunction.limits.StorageLimits.MIN_COMPACTION_BYTES;
import static yewjunction.limits.StorageLimits.RETAINED_TAIL_BYTES;
import static yewjunction.limits.StorageLimits.RETAINED_TAIL_ENTRIES;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import yewjunction.common.LogEvent;

/**
 * How far the log is on disk, committed and applied here, and who waits for that. Appends go to
 * disk in order; committed entries are applied to the {@link StateMachine} in order; the log file
 * is compacted once it has grown.
 *
 * <p>Invariants: applied is never above committed, and what is committed is never truncated.
 *
 * <p>Owned by {@link RaftNode}; all calls on the agent's thread.
 */
public final class CommitTracker {
  private final RaftNode raftNode;
  private final StateMachine stateMachine;
  private final ArrayDeque<PendingWrite> pendingWrites = new ArrayDeque<>();
  private final Map<Long, Proposal> proposals = new HashMap<>();
  private boolean compacting;
  private long compactedBytes;
  private long commitIndex;
  private long appliedIndex;
  private long syncedIndex;

  /** Entries that are being written; writes finish in the order in which they were begun. */
  private static final class PendingWrite {
    long lastIndex;
    long startedMs;
  }

  private record Proposal(long term, Consumer<Boolean> onApplied) {}

  CommitTracker(final RaftNode raftNode, final StateMachine stateMachine) {
    this.raftNode = raftNode;
    this.stateMachine = stateMachine;
    final RaftStorage storage = raftNode.storage();
    final byte[] state = storage.takeSnapshotState();
    if (state != null) {
      stateMachine.restore(storage.snapshotIndex(), state);
      appliedIndex = storage.snapshotIndex();
      commitIndex = appliedIndex;
    }
    syncedIndex = raftNode.log().lastIndex();
  }

  long commitIndex() {
    return commitIndex;
  }

  long appliedIndex() {
    return appliedIndex;
  }

  long syncedIndex() {
    return syncedIndex;
  }

  /** Milliseconds since the oldest unfinished write was begun, 0 when there is none. */
  public long oldestPendingWriteMs() {
    return pendingWrites.isEmpty()
        ? 0
        : raftNode.context().nowMs() - pendingWrites.peek().startedMs;
  }

  void onceApplied(final long index, final long term, final Consumer<Boolean> done) {
    proposals.put(index, new Proposal(term, done));
  }

  void failProposals() {
    final List<Proposal> dropped = List.copyOf(proposals.values());
    proposals.clear();
    dropped.forEach(proposal -> proposal.onApplied.accept(false));
  }

  void append(final List<LogEntry> entries) {
    if (entries.isEmpty()) {
      return;
    }
    final PendingWrite pendingWrite = new PendingWrite();
    pendingWrite.lastIndex = entries.get(entries.size() - 1).index;
    pendingWrite.startedMs = raftNode.context().nowMs();
    pendingWrites.add(pendingWrite);
    raftNode
        .storage()
        .append(
            entries,
            () -> {
              pendingWrites.remove(pendingWrite);
              syncedIndex = Math.max(syncedIndex, pendingWrite.lastIndex);
              raftNode.followerState().onSynced();
              raftNode.leaderState().onSynced();
            });
  }

  void truncateFrom(final long index) {
    // Invariant: what is committed is never truncated.
    if (index <= commitIndex) {
      throw new IllegalStateException("cut at " + index + " below commit " + commitIndex);
    }
    discardSyncedFrom(index);
    raftNode.storage().truncateFrom(index);
  }

  /** Entries from this index on are discarded: writes under way no longer count for them. */
  private void discardSyncedFrom(final long index) {
    syncedIndex = Math.min(syncedIndex, index - 1);
    pendingWrites.forEach(
        pendingWrite -> pendingWrite.lastIndex = Math.min(pendingWrite.lastIndex, index - 1));
  }

  void installSnapshot(
      final long index,
      final long term,
      final List<String> voters,
      final byte[] state,
      final Runnable after) {
    // What was synced of the old log says nothing about the new one.
    discardSyncedFrom(1);
    stateMachine.restore(index, state);
    appliedIndex = index;
    commitIndex = index;
    raftNode
        .storage()
        .installSnapshot(
            index,
            term,
            voters,
            state,
            () -> {
              syncedIndex = Math.max(syncedIndex, index);
              after.run();
            });
    stateMachine.onCommitted(commitIndex);
  }

  void advanceCommitIndex(final long newCommitIndex) {
    if (newCommitIndex <= commitIndex) {
      return;
    }
    commitIndex = Math.min(newCommitIndex, raftNode.log().lastIndex());
    while (appliedIndex < commitIndex) {
      final LogEntry entry = raftNode.log().get(appliedIndex + 1);
      appliedIndex = entry.index;
      if (entry.kind == LogEntry.DATA) {
        stateMachine.apply(entry.index, entry.data);
      } else if (entry.kind == LogEntry.VOTERS) {
        LogEvent.VOTERS_CHANGED.info(
            "group " + raftNode.group() + " " + RaftStorage.decodeVoters(entry.data));
      }
      final Proposal proposal = proposals.remove(entry.index);
      if (proposal != null) {
        proposal.onApplied.accept(proposal.term == entry.term);
      }
    }
    if (raftNode.isLeader()) {
      raftNode.leaderState().onCommitIndexAdvanced();
    }
    raftNode.relay().onCommitted();
    raftNode.leaderState().snapshotTransfer().onCommitted(commitIndex);
    stateMachine.onCommitted(commitIndex);
    compactIfLarge();
  }

  private void compactIfLarge() {
    // A large state is not rewritten again and again: only once the file has doubled since the last
    // time.
    if (compacting
        || raftNode.storage().fileBytes() < Math.max(MIN_COMPACTION_BYTES, 2 * compactedBytes)) {
      return;
    }
    compacting = true;
    raftNode.log().discardThrough(retainedTailStart());
    raftNode.leaderState().snapshotTransfer().abandonStale(raftNode.context().nowMs());
    raftNode
        .storage()
        .rewrite(
            appliedIndex,
            stateMachine.snapshot(),
            () -> {
              compacting = false;
              compactedBytes = raftNode.storage().fileBytes();
              LogEvent.LOG_COMPACTED.info("group " + raftNode.group() + " bytes " + compactedBytes);
            });
  }

  /**
   * Where the log is to begin after compaction. A tail is retained for members that were away for a
   * short while, and a longer one, within its own bound, for those that catch up: if the log began
   * behind what they hold, they would need a whole snapshot.
   */
  private long retainedTailStart() {
    final long start =
        Math.min(
            raftNode.log().startOfTail(appliedIndex, RETAINED_TAIL_ENTRIES, RETAINED_TAIL_BYTES),
            raftNode.leaderState().snapshotTransfer().unneededThrough(raftNode.context().nowMs()));
    return Math.max(
        start,
        raftNode
            .log()
            .startOfTail(appliedIndex, MAX_CATCH_UP_TAIL_ENTRIES, MAX_CATCH_UP_TAIL_BYTES));
  }

  byte[] snapshot() {
    return stateMachine.snapshot();
  }
}
