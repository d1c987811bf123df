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

  /** When it last said that its process ends; 0 when it did not. */
  long leavingSinceMs;

  /**
   * Where it fetches committed entries, null while the leader sends them; and when it was last told
   * so.
   */
  String relayAddress;

  long relayAnnouncedMs;

  /** The commit index that it has to reach, and since when it has not. */
  private long targetIndex;

  private long targetSinceMs;

  /**
   * Whether it is far behind; the last index of the chunk in flight, 0 when none is; and when that
   * was sent.
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
   * The entries to send next. A member far behind gets one chunk at a time, each after the response
   * to the one before, since heartbeats would have to wait behind all that it lacks.
   */
  List<LogEntry> nextEntries(final RaftLog log, final long nowMs) {
    if (inFlightEnd > matchIndex && nextIndex == inFlightEnd + 1) {
      return List.of();
    }
    inFlightEnd = 0;
    // It counts as catching up until the rest is small: sent at once, a large rest would still hold
    // heartbeats up.
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

  /** It holds the log up to this index. */
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

  /** Whether its disk has not taken for long what a majority has: it may respond all the same. */
  boolean isLagging(final long nowMs) {
    return matchIndex < targetIndex && nowMs - targetSinceMs > VOTER_LAG_TIMEOUT_MS;
  }
}
