package yewjunction.raft;

import static yewjunction.limits.RaftLimits.MAX_APPEND_BYTES;
import static yewjunction.limits.RaftLimits.MAX_APPEND_ENTRIES;
import static yewjunction.limits.RaftLimits.VOTER_LAG_TIMEOUT_MS;
import static yewjunction.limits.StorageLimits.CAUGHT_UP_BYTES;
import static yewjunction.limits.StorageLimits.RETAINED_TAIL_ENTRIES;

import java.util.List;

/**
 * How far another member is, as the leader knows it: {@code nextIndex} and {@code matchIndex} of
 * the Raft paper, the newest round it has answered, and when it was last heard of. Fields are read
 * and written by {@link LeaderState} and the classes it owns; all on the agent's thread.
 */
final class PeerProgress {
  long nextIndex;
  long matchIndex;
  long confirmedRound;
  long lastContactMs;
  double lateShare;
  boolean wantsVote;

  /** When it last said that its process ends, 0 when it did not. */
  long leavingSinceMs;

  /**
   * Who hands entries on to it inside its zone, null while the leader does; and when it was told so
   * last.
   */
  String relayAddress;

  long relayAnnouncedMs;

  /** What was committed when this was last looked at, and since when the peer has not taken it. */
  private long targetIndex;

  private long targetSinceMs;

  /**
   * Far behind; where what it was sent last ends, 0 when that was answered; and when it was sent.
   */
  private boolean catchingUp;

  private long inFlightEnd;
  private long sentMs;
  private final AdaptiveChunkSize chunkSize = new AdaptiveChunkSize(MAX_APPEND_BYTES);

  void onJoinRequest(final RaftMessages.JoinRequest request, final long nowMs) {
    wantsVote = request.wantsVote;
    leavingSinceMs = request.leaving == null ? 0 : nowMs;
  }

  /**
   * The entries to send next. All that a member far behind lacks would wait on its connection
   * before any heartbeat: it gets a little at a time, each after the answer to the one before, or
   * after a denial when that was lost.
   */
  List<LogEntry> nextEntries(final RaftLog log, final long nowMs) {
    if (inFlightEnd > matchIndex && nextIndex == inFlightEnd + 1) {
      return List.of();
    }
    inFlightEnd = 0;
    // One that was far behind stays so until the rest is small, too: all of it at once would hold
    // heartbeats up at the end.
    catchingUp =
        catchingUp
            ? log.exceeds(nextIndex, MAX_APPEND_ENTRIES, CAUGHT_UP_BYTES)
            : log.exceeds(nextIndex, RETAINED_TAIL_ENTRIES, MAX_APPEND_BYTES);
    if (!catchingUp) {
      return log.slice(nextIndex, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES);
    }
    final List<LogEntry> entries = log.slice(nextIndex, MAX_APPEND_ENTRIES, chunkSize.bytes());
    inFlightEnd = nextIndex - 1 + entries.size();
    sentMs = nowMs;
    return entries;
  }

  /** It holds more than before. */
  void onAccepted(final long newMatch, final long nowMs) {
    matchIndex = Math.max(matchIndex, newMatch);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
    if (inFlightEnd > 0 && matchIndex >= inFlightEnd) {
      inFlightEnd = 0;
      chunkSize.onAcknowledged(nowMs - sentMs);
    }
  }

  void updateTarget(final long commit, final long nowMs) {
    if (matchIndex >= targetIndex || targetSinceMs == 0) {
      targetIndex = commit;
      targetSinceMs = nowMs;
    }
  }

  /** Answers, perhaps, but its disk does not take what a majority's disks took long ago. */
  boolean isLagging(final long nowMs) {
    return matchIndex < targetIndex && nowMs - targetSinceMs > VOTER_LAG_TIMEOUT_MS;
  }
}
