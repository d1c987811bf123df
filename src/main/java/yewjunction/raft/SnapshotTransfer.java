package yewjunction.raft;

import static yewjunction.common.ControlLimits.CATCH_UP_BYTES;
import static yewjunction.common.ControlLimits.CATCH_UP_ENTRIES;
import static yewjunction.common.ControlLimits.IMAGES_MOST;
import static yewjunction.common.ControlLimits.IMAGE_ASK_MS;
import static yewjunction.common.ControlLimits.IMAGE_GONE_MS;
import static yewjunction.common.ControlLimits.IMAGE_LEAD_MS;
import static yewjunction.common.ControlLimits.IMAGE_MOST_BYTES;
import static yewjunction.common.Limits.IMAGE_PIECE_BYTES;
import static yewjunction.common.Limits.LINK_SILENCE_MS;

import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import yewjunction.raft.RaftMessages.InstallSnapshotRequest;
import yewjunction.raft.RaftMessages.InstallSnapshotResponse;

/**
 * Snapshots on their way: from a leader in pieces, each after the answer to the one before. One
 * that was begun is finished: it ends when the receiver has installed it or is elsewhere, is gone
 * for long, or the leadership ends.
 */
final class SnapshotTransfer {
  private final RaftNode ledger;
  private final LeaderState leading;
  private final Map<String, OutgoingSnapshot> sendings = new HashMap<>();
  private long snapshots;
  private IncomingSnapshot receiving;

  /**
   * A snapshot, shared by all that receive it. Its number never returns in this life, nor its term
   * in another.
   */
  private record Snapshot(
      long number, long lastIndex, long lastTerm, List<String> voters, byte[] state) {}

  /** How far one peer is with it. */
  private static final class OutgoingSnapshot {
    final Snapshot snapshot;
    int offset;
    final AdaptiveChunkSize pace = new AdaptiveChunkSize(IMAGE_PIECE_BYTES);

    /** Counts letters; and which of them was the last that carried a piece. */
    int attempt;

    int pieceAttempt;
    long sentMs;
    final long beganMs;

    OutgoingSnapshot(final Snapshot snapshot, final long beganMs) {
      this.snapshot = snapshot;
      this.beganMs = beganMs;
    }
  }

  /** The pieces that have come. */
  private static final class IncomingSnapshot {
    final String from;
    final long term;
    final long number;
    final long lastIndex;
    final byte[] state;
    int held;

    IncomingSnapshot(final InstallSnapshotRequest image) {
      from = image.from;
      term = image.term;
      number = image.number;
      lastIndex = image.lastIndex;
      state = new byte[image.length];
    }
  }

  SnapshotTransfer(final RaftNode ledger, final LeaderState leading) {
    this.ledger = ledger;
    this.leading = leading;
  }

  void drop() {
    sendings.clear();
  }

  boolean sends(final String identity) {
    return sendings.containsKey(identity);
  }

  /**
   * Begins, or asks after the piece that was not answered for a while: never from the first byte
   * again.
   */
  void send(final String identity, final long nowMs) {
    OutgoingSnapshot sending = sendings.get(identity);
    if (sending == null) {
      sending = new OutgoingSnapshot(snapshot(), nowMs);
      sendings.put(identity, sending);
    } else if (nowMs - sending.sentMs < IMAGE_ASK_MS) {
      return;
    }
    // What is held is asked for first: a piece that is late would only be doubled on a slow link.
    letter(identity, sending, sending.offset, nowMs);
  }

  /**
   * Whether this leader had better stay: the next one would begin a snapshot anew that is under way
   * here.
   */
  boolean hold(final long nowMs) {
    return sendings.entrySet().stream()
        .anyMatch(
            one -> {
              final OutgoingSnapshot sending = one.getValue();
              final PeerProgress standing = leading.standings.get(one.getKey());
              // What is there in full needs this leader no more, and a receiver may be gone while a
              // broken link shows.
              return standing != null
                  && sending.offset < sending.snapshot.state.length
                  && nowMs - sending.beganMs < IMAGE_LEAD_MS
                  && nowMs - standing.heardMs < LINK_SILENCE_MS + 2 * IMAGE_ASK_MS;
            });
  }

  /**
   * The newest one under way, unless the log behind it has grown so long that its receiver may
   * never reach the end.
   */
  private Snapshot snapshot() {
    final List<Snapshot> under =
        sendings.values().stream()
            .map(sending -> sending.snapshot)
            .distinct()
            .sorted(Comparator.comparingLong(Snapshot::number).reversed())
            .toList();
    final long applied = ledger.applied();
    if (!under.isEmpty()
        && (under.size() >= IMAGES_MOST
            || ledger.log.reachBack(applied, CATCH_UP_ENTRIES / 2, CATCH_UP_BYTES / 2)
                <= under.get(0).lastIndex)) {
      return under.get(0);
    }
    return new Snapshot(
        ++snapshots,
        applied,
        ledger.log.termAt(applied),
        ledger.log.votersAt(applied),
        ledger.course.image());
  }

  private void letter(
      final String identity,
      final OutgoingSnapshot sending,
      final int endOffset,
      final long nowMs) {
    sending.sentMs = nowMs;
    sending.attempt++;
    final Snapshot snapshot = sending.snapshot;
    final InstallSnapshotRequest image = new InstallSnapshotRequest();
    image.lastIndex = snapshot.lastIndex;
    image.lastTerm = snapshot.lastTerm;
    image.voters = snapshot.voters;
    image.offset = sending.offset;
    image.length = snapshot.state.length;
    image.piece = Arrays.copyOfRange(snapshot.state, sending.offset, endOffset);
    image.number = snapshot.number;
    image.attempt = sending.attempt;
    ledger.sendTo(identity, image);
  }

  void answered(final InstallSnapshotResponse answer) {
    ledger.seen(answer.term);
    final PeerProgress standing = leading.standings.get(answer.from);
    final OutgoingSnapshot sending = sendings.get(answer.from);
    if (!ledger.leadsTerm()
        || answer.term != ledger.archive.term
        || standing == null
        || sending == null
        || sending.snapshot.number != answer.number
        || answer.held < 0
        || answer.held > sending.snapshot.state.length) {
      return;
    }
    final long nowMs = ledger.pulse.nowMs();
    standing.heardMs = nowMs;
    // Letters keep their order: an answer to one before the last piece does not say whether that
    // piece came.
    if (answer.held <= sending.offset && answer.attempt < sending.pieceAttempt) {
      return;
    }
    if (answer.attempt == sending.attempt) {
      sending.pace.took(nowMs - sending.sentMs);
    }
    sending.offset = answer.held;
    if (answer.held < sending.snapshot.state.length) {
      letter(
          answer.from,
          sending,
          (int)
              Math.min((long) sending.offset + sending.pace.bytes(), sending.snapshot.state.length),
          nowMs);
      sending.pieceAttempt = sending.attempt;
    }
    // The rest is the ledger's: the peer answers once it has the whole on disk, and is asked until
    // then.
  }

  /**
   * Ends what is done or can no longer help: its receiver has it, or is gone, or the log no longer
   * begins before its end.
   */
  void tidy(final long nowMs) {
    sendings
        .entrySet()
        .removeIf(
            one -> {
              final PeerProgress standing = leading.standings.get(one.getKey());
              final long lastIndex = one.getValue().snapshot.lastIndex;
              return standing == null
                  || standing.match >= lastIndex
                  || nowMs - standing.heardMs > IMAGE_GONE_MS
                  || lastIndex < ledger.log.baseIndex();
            });
  }

  /**
   * Up to where nobody that catches up needs the log: the end of a snapshot under way, then what
   * its receiver holds.
   */
  long unneeded(final long nowMs) {
    long unneeded = Long.MAX_VALUE;
    if (ledger.leadsTerm()) {
      for (final Map.Entry<String, PeerProgress> one : leading.standings.entrySet()) {
        final OutgoingSnapshot sending = sendings.get(one.getKey());
        final long held = sending == null ? one.getValue().match : sending.snapshot.lastIndex;
        if (!one.getKey().equals(ledger.identity())
            && held >= ledger.log.baseIndex()
            && nowMs - one.getValue().heardMs <= IMAGE_GONE_MS) {
          unneeded = Math.min(unneeded, held);
        }
      }
    }
    return unneeded;
  }

  /** Takes a piece; the whole state once the last one is there, else null. */
  byte[] taken(final InstallSnapshotRequest image) {
    final boolean sameLeader =
        receiving != null && receiving.from.equals(image.from) && receiving.term == image.term;
    // A late letter of one that its sender gave up, or nothing that a ledger could hold.
    if (sameLeader && image.number < receiving.number
        || image.length < 0
        || image.length > IMAGE_MOST_BYTES) {
      return null;
    }
    if (!sameLeader || image.number > receiving.number) {
      receiving = new IncomingSnapshot(image);
    }
    // One that was lost with a link leaves a gap: the answer names what is missing.
    if (image.offset == receiving.held
        && image.piece.length <= receiving.state.length - receiving.held) {
      System.arraycopy(image.piece, 0, receiving.state, receiving.held, image.piece.length);
      receiving.held += image.piece.length;
    }
    final InstallSnapshotResponse answer =
        ledger.addressed(new InstallSnapshotResponse(), image.from);
    answer.lastIndex = image.lastIndex;
    answer.held = receiving.held;
    answer.number = image.number;
    answer.attempt = image.attempt;
    ledger.sendTo(image.from, answer);
    if (receiving.held < receiving.state.length) {
      return null;
    }
    final byte[] state = receiving.state;
    receiving = null;
    return state;
  }

  /** All up to there is committed here: a snapshot that ends before it is no longer of use. */
  void committed(final long commit) {
    if (receiving != null && receiving.lastIndex <= commit) {
      receiving = null;
    }
  }
}
