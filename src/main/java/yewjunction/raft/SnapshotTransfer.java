package yewjunction.raft;

import static yewjunction.limits.StorageLimits.MAX_CATCH_UP_TAIL_BYTES;
import static yewjunction.limits.StorageLimits.MAX_CATCH_UP_TAIL_ENTRIES;
import static yewjunction.limits.StorageLimits.MAX_CONCURRENT_SNAPSHOTS;
import static yewjunction.limits.StorageLimits.MAX_SNAPSHOT_BYTES;
import static yewjunction.limits.StorageLimits.MAX_SNAPSHOT_CHUNK_BYTES;
import static yewjunction.limits.StorageLimits.MAX_SNAPSHOT_LEADERSHIP_MS;
import static yewjunction.limits.StorageLimits.SNAPSHOT_PROBE_INTERVAL_MS;
import static yewjunction.limits.StorageLimits.SNAPSHOT_RECEIVER_TIMEOUT_MS;
import static yewjunction.limits.TransportLimits.CONNECTION_TIMEOUT_MS;

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
  private final RaftNode raftNode;
  private final LeaderState leaderState;
  private final Map<String, OutgoingSnapshot> transfers = new HashMap<>();
  private long snapshots;
  private IncomingSnapshot incoming;

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
    final AdaptiveChunkSize chunkSize = new AdaptiveChunkSize(MAX_SNAPSHOT_CHUNK_BYTES);

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

    IncomingSnapshot(final InstallSnapshotRequest request) {
      from = request.from;
      term = request.term;
      number = request.number;
      lastIndex = request.lastIndex;
      state = new byte[request.length];
    }
  }

  SnapshotTransfer(final RaftNode raftNode, final LeaderState leaderState) {
    this.raftNode = raftNode;
    this.leaderState = leaderState;
  }

  void drop() {
    transfers.clear();
  }

  boolean sends(final String identity) {
    return transfers.containsKey(identity);
  }

  /**
   * Begins, or asks after the piece that was not answered for a while: never from the first byte
   * again.
   */
  void send(final String identity, final long nowMs) {
    OutgoingSnapshot transfer = transfers.get(identity);
    if (transfer == null) {
      transfer = new OutgoingSnapshot(snapshot(), nowMs);
      transfers.put(identity, transfer);
    } else if (nowMs - transfer.sentMs < SNAPSHOT_PROBE_INTERVAL_MS) {
      return;
    }
    // What is held is asked for first: a piece that is late would only be doubled on a slow link.
    letter(identity, transfer, transfer.offset, nowMs);
  }

  /**
   * Whether this leader had better stay: the next one would begin a snapshot anew that is under way
   * here.
   */
  boolean hold(final long nowMs) {
    return transfers.entrySet().stream()
        .anyMatch(
            one -> {
              final OutgoingSnapshot transfer = one.getValue();
              final PeerProgress progress = leaderState.progressByMember.get(one.getKey());
              // What is there in full needs this leader no more, and a receiver may be gone while a
              // broken link shows.
              return progress != null
                  && transfer.offset < transfer.snapshot.state.length
                  && nowMs - transfer.beganMs < MAX_SNAPSHOT_LEADERSHIP_MS
                  && nowMs - progress.heardMs
                      < CONNECTION_TIMEOUT_MS + 2 * SNAPSHOT_PROBE_INTERVAL_MS;
            });
  }

  /**
   * The newest one under way, unless the log behind it has grown so long that its receiver may
   * never reach the end.
   */
  private Snapshot snapshot() {
    final List<Snapshot> under =
        transfers.values().stream()
            .map(transfer -> transfer.snapshot)
            .distinct()
            .sorted(Comparator.comparingLong(Snapshot::number).reversed())
            .toList();
    final long applied = raftNode.applied();
    if (!under.isEmpty()
        && (under.size() >= MAX_CONCURRENT_SNAPSHOTS
            || raftNode.log.reachBack(
                    applied, MAX_CATCH_UP_TAIL_ENTRIES / 2, MAX_CATCH_UP_TAIL_BYTES / 2)
                <= under.get(0).lastIndex)) {
      return under.get(0);
    }
    return new Snapshot(
        ++snapshots,
        applied,
        raftNode.log.termAt(applied),
        raftNode.log.votersAt(applied),
        raftNode.commitTracker.image());
  }

  private void letter(
      final String identity,
      final OutgoingSnapshot transfer,
      final int endOffset,
      final long nowMs) {
    transfer.sentMs = nowMs;
    transfer.attempt++;
    final Snapshot snapshot = transfer.snapshot;
    final InstallSnapshotRequest request = new InstallSnapshotRequest();
    request.lastIndex = snapshot.lastIndex;
    request.lastTerm = snapshot.lastTerm;
    request.voters = snapshot.voters;
    request.offset = transfer.offset;
    request.length = snapshot.state.length;
    request.piece = Arrays.copyOfRange(snapshot.state, transfer.offset, endOffset);
    request.number = snapshot.number;
    request.attempt = transfer.attempt;
    raftNode.sendTo(identity, request);
  }

  void answered(final InstallSnapshotResponse response) {
    raftNode.seen(response.term);
    final PeerProgress progress = leaderState.progressByMember.get(response.from);
    final OutgoingSnapshot transfer = transfers.get(response.from);
    if (!raftNode.leadsTerm()
        || response.term != raftNode.storage.term
        || progress == null
        || transfer == null
        || transfer.snapshot.number != response.number
        || response.held < 0
        || response.held > transfer.snapshot.state.length) {
      return;
    }
    final long nowMs = raftNode.context.nowMs();
    progress.heardMs = nowMs;
    // Letters keep their order: an answer to one before the last piece does not say whether that
    // piece came.
    if (response.held <= transfer.offset && response.attempt < transfer.pieceAttempt) {
      return;
    }
    if (response.attempt == transfer.attempt) {
      transfer.chunkSize.took(nowMs - transfer.sentMs);
    }
    transfer.offset = response.held;
    if (response.held < transfer.snapshot.state.length) {
      letter(
          response.from,
          transfer,
          (int)
              Math.min(
                  (long) transfer.offset + transfer.chunkSize.bytes(),
                  transfer.snapshot.state.length),
          nowMs);
      transfer.pieceAttempt = transfer.attempt;
    }
    // The rest is the ledger's: the peer answers once it has the whole on disk, and is asked until
    // then.
  }

  /**
   * Ends what is done or can no longer help: its receiver has it, or is gone, or the log no longer
   * begins before its end.
   */
  void tidy(final long nowMs) {
    transfers
        .entrySet()
        .removeIf(
            one -> {
              final PeerProgress progress = leaderState.progressByMember.get(one.getKey());
              final long lastIndex = one.getValue().snapshot.lastIndex;
              return progress == null
                  || progress.match >= lastIndex
                  || nowMs - progress.heardMs > SNAPSHOT_RECEIVER_TIMEOUT_MS
                  || lastIndex < raftNode.log.baseIndex();
            });
  }

  /**
   * Up to where nobody that catches up needs the log: the end of a snapshot under way, then what
   * its receiver holds.
   */
  long unneeded(final long nowMs) {
    long unneeded = Long.MAX_VALUE;
    if (raftNode.leadsTerm()) {
      for (final Map.Entry<String, PeerProgress> one : leaderState.progressByMember.entrySet()) {
        final OutgoingSnapshot transfer = transfers.get(one.getKey());
        final long held = transfer == null ? one.getValue().match : transfer.snapshot.lastIndex;
        if (!one.getKey().equals(raftNode.identity())
            && held >= raftNode.log.baseIndex()
            && nowMs - one.getValue().heardMs <= SNAPSHOT_RECEIVER_TIMEOUT_MS) {
          unneeded = Math.min(unneeded, held);
        }
      }
    }
    return unneeded;
  }

  /** Takes a piece; the whole state once the last one is there, else null. */
  byte[] taken(final InstallSnapshotRequest request) {
    final boolean sameLeader =
        incoming != null && incoming.from.equals(request.from) && incoming.term == request.term;
    // A late letter of one that its sender gave up, or nothing that a ledger could hold.
    if (sameLeader && request.number < incoming.number
        || request.length < 0
        || request.length > MAX_SNAPSHOT_BYTES) {
      return null;
    }
    if (!sameLeader || request.number > incoming.number) {
      incoming = new IncomingSnapshot(request);
    }
    // One that was lost with a link leaves a gap: the answer names what is missing.
    if (request.offset == incoming.held
        && request.piece.length <= incoming.state.length - incoming.held) {
      System.arraycopy(request.piece, 0, incoming.state, incoming.held, request.piece.length);
      incoming.held += request.piece.length;
    }
    final InstallSnapshotResponse response =
        raftNode.addressed(new InstallSnapshotResponse(), request.from);
    response.lastIndex = request.lastIndex;
    response.held = incoming.held;
    response.number = request.number;
    response.attempt = request.attempt;
    raftNode.sendTo(request.from, response);
    if (incoming.held < incoming.state.length) {
      return null;
    }
    final byte[] state = incoming.state;
    incoming = null;
    return state;
  }

  /** All up to there is committed here: a snapshot that ends before it is no longer of use. */
  void committed(final long commit) {
    if (incoming != null && incoming.lastIndex <= commit) {
      incoming = null;
    }
  }
}
