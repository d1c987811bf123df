package yewjunction.raft;

import static yewjunction.common.ControlLimits.CATCH_UP_BYTES;
import static yewjunction.common.ControlLimits.CATCH_UP_ENTRIES;
import static yewjunction.common.Limits.LEDGER_BYTES;
import static yewjunction.common.Limits.LEDGER_TAIL_BYTES;
import static yewjunction.common.Limits.LEDGER_TAIL_ENTRIES;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import yewjunction.common.LogEvent;

/** How far the log is synced, committed and applied here, and who waits for that. */
public final class CommitTracker {
  private final RaftNode ledger;
  private final StateMachine machine;
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

  CommitTracker(final RaftNode ledger, final StateMachine machine) {
    this.ledger = ledger;
    this.machine = machine;
    final RaftStorage archive = ledger.archive;
    final byte[] state = archive.takeState();
    if (state != null) {
      machine.restore(archive.stateIndex(), state);
      applied = archive.stateIndex();
      commit = applied;
    }
    syncedIndex = ledger.log.lastIndex();
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
    return writes.isEmpty() ? 0 : ledger.pulse.nowMs() - writes.peek().atMs;
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
    write.atMs = ledger.pulse.nowMs();
    writes.add(write);
    ledger.archive.append(
        entries,
        () -> {
          writes.remove(write);
          syncedIndex = Math.max(syncedIndex, write.lastIndex);
          ledger.following.synced();
          ledger.leading.synced();
        });
  }

  void cutFrom(final long index) {
    // Invariant: what is committed is never cut.
    if (index <= commit) {
      throw new IllegalStateException("cut at " + index + " below commit " + commit);
    }
    forget(index);
    ledger.archive.cutFrom(index);
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
    machine.restore(index, state);
    applied = index;
    commit = index;
    ledger.archive.install(
        index,
        term,
        voters,
        state,
        () -> {
          syncedIndex = Math.max(syncedIndex, index);
          after.run();
        });
    machine.settled(commit);
  }

  void commitTo(final long newCommit) {
    if (newCommit <= commit) {
      return;
    }
    commit = Math.min(newCommit, ledger.log.lastIndex());
    while (applied < commit) {
      final LogEntry entry = ledger.log.get(applied + 1);
      applied = entry.index;
      if (entry.kind == LogEntry.DATA) {
        machine.apply(entry.index, entry.data);
      } else if (entry.kind == LogEntry.VOTERS) {
        LogEvent.VOTERS_CHANGED.info(
            "group " + ledger.group + " " + RaftStorage.votersOf(entry.data));
      }
      final Proposal proposal = proposals.remove(entry.index);
      if (proposal != null) {
        proposal.done.accept(proposal.term == entry.term);
      }
    }
    if (ledger.leadsTerm()) {
      ledger.leading.advanced();
    }
    ledger.relay.committed();
    ledger.leading.images.committed(commit);
    machine.settled(commit);
    shorten();
  }

  private void shorten() {
    // A state that is large by itself is not rewritten with every entry: only once the file has
    // doubled.
    if (rewriting || ledger.archive.bytes() < Math.max(LEDGER_BYTES, 2 * rewrittenBytes)) {
      return;
    }
    rewriting = true;
    ledger.log.dropTo(tailStart());
    ledger.leading.images.tidy(ledger.pulse.nowMs());
    ledger.archive.rewrite(
        applied,
        machine.snapshot(),
        () -> {
          rewriting = false;
          rewrittenBytes = ledger.archive.bytes();
          LogEvent.LEDGER_REWRITTEN.info("group " + ledger.group + " bytes " + rewrittenBytes);
        });
  }

  /**
   * A tail stays for peers that were away a short while, and a longer one, within its own bound,
   * for those that catch up: the log cut past what they hold would send them back to a first byte.
   */
  private long tailStart() {
    final long start =
        Math.min(
            ledger.log.reachBack(applied, LEDGER_TAIL_ENTRIES, LEDGER_TAIL_BYTES),
            ledger.leading.images.unneeded(ledger.pulse.nowMs()));
    return Math.max(start, ledger.log.reachBack(applied, CATCH_UP_ENTRIES, CATCH_UP_BYTES));
  }

  byte[] image() {
    return machine.snapshot();
  }
}
