package yewjunction.raft;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Term, vote, identity and log of a member in one append-only file of {@link LogRecord}s. A record
 * is one of: identity, vote, entry, truncation, snapshot; RaftWireFormatTest pins their bytes.
 *
 * <p>State in memory changes at once; the callback of a write runs on the agent's thread after the
 * disk has synced it.
 *
 * <p>Owned by {@link RaftNode}; all calls on the agent's thread.
 */
final class RaftStorage {
  private static final int IDENTITY = 1;
  private static final int VOTE = 2;
  private static final int ENTRY = 3;
  private static final int TRUNCATION = 4;
  private static final int SNAPSHOT = 5;
  private final AppendOnlyFile file;

  private long term;
  private String votedFor = "";
  private String identity;

  /** As read at start, until it is taken: the state machine needs no second copy in memory. */
  private byte[] snapshotState;

  private long snapshotIndex;
  private final RaftLog log = new RaftLog();

  RaftStorage(final AppendOnlyFile file) {
    this.file = file;
    for (final LogRecord.Content record : file.open()) {
      replay(record.kind(), ByteBuffer.wrap(record.body()));
    }
  }

  private void replay(final int kind, final ByteBuffer body) {
    switch (kind) {
      case IDENTITY -> identity = text(body);
      case VOTE -> {
        term = body.getLong();
        votedFor = text(body);
      }
      case ENTRY -> {
        final LogEntry entry = new LogEntry(body.getLong(), body.getLong(), body.get(), null);
        entry.data = remaining(body);
        log.append(entry);
      }
      case TRUNCATION -> log.truncateFrom(body.getLong());
      case SNAPSHOT -> {
        snapshotIndex = body.getLong();
        final long baseIndex = body.getLong();
        final long baseTerm = body.getLong();
        final byte[] voters = new byte[body.getInt()];
        body.get(voters);
        snapshotState = remaining(body);
        log.reset(baseIndex, baseTerm, decodeVoters(voters));
      }
      default -> {
        // Written by a newer release: skipping it could lose a vote, so the log stays shut.
        throw new IllegalStateException("record kind " + kind);
      }
    }
  }

  private static String text(final ByteBuffer body) {
    return new String(remaining(body), UTF_8);
  }

  private static byte[] remaining(final ByteBuffer body) {
    final byte[] bytes = new byte[body.remaining()];
    body.get(bytes);
    return bytes;
  }

  static byte[] encodeVoters(final List<String> voters) {
    return String.join("\n", voters).getBytes(UTF_8);
  }

  static List<String> decodeVoters(final byte[] data) {
    return data.length == 0 ? List.of() : Arrays.asList(new String(data, UTF_8).split("\n"));
  }

  /** The newest term this member has seen; 0 before the first. */
  long term() {
    return term;
  }

  /** Whom this member voted for in that term, empty for nobody. */
  String votedFor() {
    return votedFor;
  }

  /** Who this member is; null while its disk is new. */
  String identity() {
    return identity;
  }

  /** The entries behind the newest snapshot. */
  RaftLog log() {
    return log;
  }

  long snapshotIndex() {
    return snapshotIndex;
  }

  /** The snapshot that was read at start, once; null when there was none. */
  byte[] takeSnapshotState() {
    final byte[] taken = snapshotState;
    snapshotState = null;
    return taken;
  }

  void saveIdentity(final String newIdentity, final Runnable synced) {
    identity = newIdentity;
    file.append(IDENTITY, identity.getBytes(UTF_8), synced);
  }

  void saveVote(final long newTerm, final String newVote, final Runnable synced) {
    // Invariant: a term never falls, and a vote once given in a term stays.
    if (newTerm < term || newTerm == term && !votedFor.isEmpty() && !votedFor.equals(newVote)) {
      throw new IllegalStateException(
          "vote " + newTerm + " " + newVote + " after " + term + " " + votedFor);
    }
    term = newTerm;
    votedFor = newVote;
    file.append(VOTE, voteBody(), synced);
  }

  private byte[] voteBody() {
    final byte[] vote = votedFor.getBytes(UTF_8);
    return ByteBuffer.allocate(8 + vote.length).putLong(term).put(vote).array();
  }

  private static byte[] entryBody(final LogEntry entry) {
    return ByteBuffer.allocate(17 + entry.data.length)
        .putLong(entry.index)
        .putLong(entry.term)
        .put((byte) entry.kind)
        .put(entry.data)
        .array();
  }

  void append(final List<LogEntry> entries, final Runnable synced) {
    for (int i = 0; i < entries.size(); i++) {
      log.append(entries.get(i));
      file.append(ENTRY, entryBody(entries.get(i)), i == entries.size() - 1 ? synced : () -> {});
    }
  }

  void truncateFrom(final long index) {
    log.truncateFrom(index);
    file.append(TRUNCATION, ByteBuffer.allocate(8).putLong(index).array(), () -> {});
  }

  long fileBytes() {
    return file.length();
  }

  /** Replaces the file by a snapshot and the log behind it. */
  void rewrite(final long newStateIndex, final byte[] newState, final Runnable synced) {
    final List<LogRecord.Content> content = new ArrayList<>();
    content.add(new LogRecord.Content(IDENTITY, identity.getBytes(UTF_8)));
    content.add(new LogRecord.Content(VOTE, voteBody()));
    final byte[] voters = encodeVoters(log.votersAt(log.snapshotIndex()));
    content.add(
        new LogRecord.Content(
            SNAPSHOT,
            ByteBuffer.allocate(28 + voters.length + newState.length)
                .putLong(newStateIndex)
                .putLong(log.snapshotIndex())
                .putLong(log.termAt(log.snapshotIndex()))
                .putInt(voters.length)
                .put(voters)
                .put(newState)
                .array()));
    for (long at = log.snapshotIndex() + 1; at <= log.lastIndex(); at++) {
      content.add(new LogRecord.Content(ENTRY, entryBody(log.get(at))));
    }
    file.rewrite(content, synced);
  }

  /** Replaces the whole log by a snapshot of the leader. */
  void installSnapshot(
      final long index,
      final long newTerm,
      final List<String> voters,
      final byte[] newState,
      final Runnable synced) {
    log.reset(index, newTerm, voters);
    rewrite(index, newState, synced);
  }
}
