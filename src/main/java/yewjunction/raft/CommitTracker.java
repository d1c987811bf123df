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

/** How far the log is synced, committed and applied here, and who waits for that. */
public final class CommitTracker {
  private final RaftNode raftNode;
  private final StateMachine stateMachine;
  private final ArrayDeque<PendingWrite> writes = new ArrayDeque<>();
  private final Map<Long, Proposal> proposals = new HashMap<>();
  private boolean rewriting;
  private long rewrittenBytes;
  private long commit;
  private long applied;
  private long syncedIndex;

  /** Entries on their way to the disk, in the order they will get there. */
  private static final class PendingWrite {
    long lastIndex;
    long atMs;
  }

  private record Proposal(long term, Consumer<Boolean> done) {}

  CommitTracker(final RaftNode raftNode, final StateMachine stateMachine) {
    this.raftNode = raftNode;
    this.stateMachine = stateMachine;
    final RaftStorage storage = raftNode.storage;
    final byte[] state = storage.takeState();
    if (state != null) {
      stateMachine.restore(storage.stateIndex(), state);
      applied = storage.stateIndex();
      commit = applied;
    }
    syncedIndex = raftNode.log.lastIndex();
  }

  long commit() {
    return commit;
  }

  long applied() {
    return applied;
  }

  long syncedIndex() {
    return syncedIndex;
  }

  /** For how long the disk has owed its oldest write. */
  public long owedMs() {
    return writes.isEmpty() ? 0 : raftNode.context.nowMs() - writes.peek().atMs;
  }

  void await(final long index, final long term, final Consumer<Boolean> done) {
    proposals.put(index, new Proposal(term, done));
  }

  void dropProposals() {
    final List<Proposal> dropped = List.copyOf(proposals.values());
    proposals.clear();
    dropped.forEach(proposal -> proposal.done.accept(false));
  }

  void write(final List<LogEntry> entries) {
    if (entries.isEmpty()) {
      return;
    }
    final PendingWrite write = new PendingWrite();
    write.lastIndex = entries.get(entries.size() - 1).index;
    write.atMs = raftNode.context.nowMs();
    writes.add(write);
    raftNode.storage.append(
        entries,
        () -> {
          writes.remove(write);
          syncedIndex = Math.max(syncedIndex, write.lastIndex);
          raftNode.followerState.synced();
          raftNode.leaderState.synced();
        });
  }

  void cutFrom(final long index) {
    // Invariant: what is committed is never cut.
    if (index <= commit) {
      throw new IllegalStateException("cut at " + index + " below commit " + commit);
    }
    forget(index);
    raftNode.storage.cutFrom(index);
  }

  /**
   * Entries from there on are no longer this log's; those before stay synced, or on their way to
   * it.
   */
  private void forget(final long index) {
    syncedIndex = Math.min(syncedIndex, index - 1);
    writes.forEach(write -> write.lastIndex = Math.min(write.lastIndex, index - 1));
  }

  void installed(
      final long index,
      final long term,
      final List<String> voters,
      final byte[] state,
      final Runnable after) {
    // What the old log had on disk says nothing about the new one: counted as synced only once it
    // is.
    forget(1);
    stateMachine.restore(index, state);
    applied = index;
    commit = index;
    raftNode.storage.install(
        index,
        term,
        voters,
        state,
        () -> {
          syncedIndex = Math.max(syncedIndex, index);
          after.run();
        });
    stateMachine.settled(commit);
  }

  void commitTo(final long newCommit) {
    if (newCommit <= commit) {
      return;
    }
    commit = Math.min(newCommit, raftNode.log.lastIndex());
    while (applied < commit) {
      final LogEntry entry = raftNode.log.get(applied + 1);
      applied = entry.index;
      if (entry.kind == LogEntry.DATA) {
        stateMachine.apply(entry.index, entry.data);
      } else if (entry.kind == LogEntry.VOTERS) {
        LogEvent.VOTERS_CHANGED.info(
            "group " + raftNode.group + " " + RaftStorage.votersOf(entry.data));
      }
      final Proposal proposal = proposals.remove(entry.index);
      if (proposal != null) {
        proposal.done.accept(proposal.term == entry.term);
      }
    }
    if (raftNode.leadsTerm()) {
      raftNode.leaderState.advanced();
    }
    raftNode.relay.committed();
    raftNode.leaderState.snapshotTransfer.committed(commit);
    stateMachine.settled(commit);
    shorten();
  }

  private void shorten() {
    // A state that is large by itself is not rewritten with every entry: only once the file has
    // doubled.
    if (rewriting
        || raftNode.storage.bytes() < Math.max(MIN_COMPACTION_BYTES, 2 * rewrittenBytes)) {
      return;
    }
    rewriting = true;
    raftNode.log.dropTo(tailStart());
    raftNode.leaderState.snapshotTransfer.tidy(raftNode.context.nowMs());
    raftNode.storage.rewrite(
        applied,
        stateMachine.snapshot(),
        () -> {
          rewriting = false;
          rewrittenBytes = raftNode.storage.bytes();
          LogEvent.LEDGER_REWRITTEN.info("group " + raftNode.group + " bytes " + rewrittenBytes);
        });
  }

  /**
   * A tail stays for peers that were away a short while, and a longer one, within its own bound,
   * for those that catch up: the log cut past what they hold would send them back to a first byte.
   */
  private long tailStart() {
    final long start =
        Math.min(
            raftNode.log.reachBack(applied, RETAINED_TAIL_ENTRIES, RETAINED_TAIL_BYTES),
            raftNode.leaderState.snapshotTransfer.unneeded(raftNode.context.nowMs()));
    return Math.max(
        start, raftNode.log.reachBack(applied, MAX_CATCH_UP_TAIL_ENTRIES, MAX_CATCH_UP_TAIL_BYTES));
  }

  byte[] image() {
    return stateMachine.snapshot();
  }
}
