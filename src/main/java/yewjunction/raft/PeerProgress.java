package yewjunction.raft;

import static yewjunction.limits.RaftLimits.MAX_APPEND_BYTES;
import static yewjunction.limits.RaftLimits.MAX_APPEND_ENTRIES;
import static yewjunction.limits.RaftLimits.VOTER_LAG_TIMEOUT_MS;
import static yewjunction.limits.StorageLimits.CAUGHT_UP_BYTES;
import static yewjunction.limits.StorageLimits.RETAINED_TAIL_ENTRIES;

import java.util.List;

/** How far a peer is. */
final class PeerProgress {
  long next;
  long match;
  long round;
  long heardMs;
  double late;
  boolean wantsVote;

  /** When it last said that its process ends, 0 when it did not. */
  long leavesMs;

  /**
   * Who hands entries on to it inside its zone, null while the leader does; and when it was told so
   * last.
   */
  String relay;

  long relayToldMs;

  /** What was committed when this was last looked at, and since when the peer has not taken it. */
  private long goal;

  private long goalMs;

  /**
   * Far behind; where what it was sent last ends, 0 when that was answered; and when it was sent.
   */
  private boolean behind;

  private long windowEnd;
  private long sentMs;
  private final AdaptiveChunkSize chunkSize = new AdaptiveChunkSize(MAX_APPEND_BYTES);

  void said(final RaftMessages.JoinRequest request, final long nowMs) {
    wantsVote = request.wantsVote;
    leavesMs = request.leaves == null ? 0 : nowMs;
  }

  /**
   * The entries to send next. All that a peer far behind lacks would wait on its link before any
   * beat: it gets a little at a time, each after the answer to the one before, or after a denial
   * when that was lost.
   */
  List<LogEntry> slice(final RaftLog log, final long nowMs) {
    if (windowEnd > match && next == windowEnd + 1) {
      return List.of();
    }
    windowEnd = 0;
    // One that was far behind stays so until the rest is small, too: all of it at once would hold
    // beats up at the end.
    behind =
        behind
            ? log.exceeds(next, MAX_APPEND_ENTRIES, CAUGHT_UP_BYTES)
            : log.exceeds(next, RETAINED_TAIL_ENTRIES, MAX_APPEND_BYTES);
    if (!behind) {
      return log.slice(next, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES);
    }
    final List<LogEntry> entries = log.slice(next, MAX_APPEND_ENTRIES, chunkSize.bytes());
    windowEnd = next - 1 + entries.size();
    sentMs = nowMs;
    return entries;
  }

  /** It holds more than before. */
  void accepted(final long newMatch, final long nowMs) {
    match = Math.max(match, newMatch);
    next = Math.max(next, match + 1);
    if (windowEnd > 0 && match >= windowEnd) {
      windowEnd = 0;
      chunkSize.took(nowMs - sentMs);
    }
  }

  void keepUp(final long commit, final long nowMs) {
    if (match >= goal || goalMs == 0) {
      goal = commit;
      goalMs = nowMs;
    }
  }

  /** Answers, perhaps, but its disk does not take what a majority's disks took long ago. */
  boolean lags(final long nowMs) {
    return match < goal && nowMs - goalMs > VOTER_LAG_TIMEOUT_MS;
  }
}
