package yewjunction.raft;

import java.util.ArrayList;
import java.util.List;

/**
 * The entries in memory behind the newest snapshot, and which voters are in force at each index.
 *
 * <p>Invariants: indices follow without gap and terms never fall.
 */
final class RaftLog {
  private final ArrayList<LogEntry> entries = new ArrayList<>();

  /** The entries that change voters: few, and needed all the time. */
  private final ArrayList<LogEntry> voterChanges = new ArrayList<>();

  private long snapshotIndex;
  private long snapshotTerm;
  private List<String> snapshotVoters = List.of();

  void reset(final long index, final long term, final List<String> voters) {
    entries.clear();
    voterChanges.clear();
    snapshotIndex = index;
    snapshotTerm = term;
    snapshotVoters = List.copyOf(voters);
  }

  long snapshotIndex() {
    return snapshotIndex;
  }

  long lastIndex() {
    return snapshotIndex + entries.size();
  }

  long lastTerm() {
    return entries.isEmpty() ? snapshotTerm : entries.get(entries.size() - 1).term;
  }

  /** The term at an index, or -1 where the log does not reach. */
  long termAt(final long index) {
    if (index == snapshotIndex) {
      return snapshotTerm;
    }
    return index < snapshotIndex || index > lastIndex() ? -1 : get(index).term;
  }

  LogEntry get(final long index) {
    return entries.get((int) (index - snapshotIndex - 1));
  }

  void append(final LogEntry entry) {
    // Invariant: indices follow without gap and terms never fall.
    if (entry.index != lastIndex() + 1 || entry.term < lastTerm()) {
      throw new IllegalStateException(
          "entry " + entry.index + "/" + entry.term + " after " + lastIndex() + "/" + lastTerm());
    }
    entries.add(entry);
    if (entry.kind == LogEntry.VOTERS) {
      voterChanges.add(entry);
    }
  }

  void truncateFrom(final long index) {
    while (lastIndex() >= index && !entries.isEmpty()) {
      entries.remove(entries.size() - 1);
    }
    voterChanges.removeIf(entry -> entry.index >= index);
  }

  void discardThrough(final long index) {
    final long newTerm = termAt(index);
    if (newTerm < 0 || index <= snapshotIndex) {
      return;
    }
    snapshotVoters = votersAt(index);
    entries.subList(0, (int) (index - snapshotIndex)).clear();
    voterChanges.removeIf(entry -> entry.index <= index);
    snapshotIndex = index;
    snapshotTerm = newTerm;
    entries.trimToSize();
  }

  /** Whether the entries from this index on are more than so many, in number or bytes. */
  boolean exceeds(final long from, final int mostEntries, final int mostBytes) {
    long bytes = 0;
    for (long at = from;
        at <= lastIndex() && at - from <= mostEntries && bytes <= mostBytes;
        at++) {
      bytes += get(at).data.length;
    }
    return lastIndex() - from >= mostEntries || bytes > mostBytes;
  }

  /**
   * The first index of a tail that ends at the given index and holds at most so many entries and
   * bytes.
   */
  long startOfTail(final long index, final int mostEntries, final int mostBytes) {
    long start = index;
    long bytes = 0;
    while (start > snapshotIndex && index - start < mostEntries && bytes < mostBytes) {
      bytes += get(start).data.length;
      start--;
    }
    return start;
  }

  /** The voters in force when the log ends at that index. */
  List<String> votersAt(final long index) {
    for (int position = voterChanges.size() - 1; position >= 0; position--) {
      if (voterChanges.get(position).index <= index) {
        return RaftStorage.decodeVoters(voterChanges.get(position).data);
      }
    }
    return snapshotVoters;
  }

  long lastVoterChangeIndex() {
    return voterChanges.isEmpty() ? snapshotIndex : voterChanges.get(voterChanges.size() - 1).index;
  }

  List<LogEntry> slice(final long from, final int mostEntries, final int mostBytes) {
    final List<LogEntry> chosen = new ArrayList<>();
    int bytes = 0;
    for (long at = from;
        at <= lastIndex() && chosen.size() < mostEntries && bytes < mostBytes;
        at++) {
      final LogEntry entry = get(at);
      chosen.add(entry);
      bytes += entry.data.length + 32;
    }
    return chosen;
  }
}
