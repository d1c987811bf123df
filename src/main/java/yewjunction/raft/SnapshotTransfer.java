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
 * Snapshots on their way. A leader sends one in chunks, each after the response to the one before;
 * a chunk without a response is inquired about, and never sent from the first byte again. One that
 * was begun is finished: it ends when the receiver has installed it or is served from elsewhere,
 * has been gone for long, or the leadership ends.
 *
 * <p>Owned by {@link LeaderState}, though it contains a follower's half, too; all calls on the
 * agent's thread.
 */
final class SnapshotTransfer {
  private final RaftNode raftNode;
  private final LeaderState leaderState;
  private final Map<String, OutgoingSnapshot> transfers = new HashMap<>();
  private long snapshotCount;
  private IncomingSnapshot incoming;

  /**
   * A snapshot, shared by all members that receive it. Its number is unique in this life of the
   * process, and its term across lives.
   */
  private record Snapshot(
      long number, long lastIndex, long lastTerm, List<String> voters, byte[] state) {}

  /** How far one receiver is. */
  private static final class OutgoingSnapshot {
    final Snapshot snapshot;
    int offset;
    final AdaptiveChunkSize chunkSize = new AdaptiveChunkSize(MAX_SNAPSHOT_CHUNK_BYTES);

    /** Number of the last request, and of the last one that carried a chunk. */
    int lastAttempt;

    int lastChunkAttempt;
    long sentMs;
    final long startedMs;

    OutgoingSnapshot(final Snapshot snapshot, final long beganMs) {
      this.snapshot = snapshot;
      this.startedMs = beganMs;
    }
  }

  /** The chunks received so far. */
  private static final class IncomingSnapshot {
    final String from;
    final long term;
    final long snapshotNumber;
    final long lastIndex;
    final byte[] state;
    int receivedBytes;

    IncomingSnapshot(final InstallSnapshotRequest request) {
      from = request.from;
      term = request.term;
      snapshotNumber = request.snapshotNumber;
      lastIndex = request.lastIndex;
      state = new byte[request.totalBytes];
    }
  }

  SnapshotTransfer(final RaftNode raftNode, final LeaderState leaderState) {
    this.raftNode = raftNode;
    this.leaderState = leaderState;
  }

  void abandonAll() {
    transfers.clear();
  }

  boolean isSendingTo(final String identity) {
    return transfers.containsKey(identity);
  }

  /**
   * Starts a transfer, or asks how much the receiver holds when a chunk was not answered for a
   * while; a transfer is never started over.
   */
  void startOrProbe(final String identity, final long nowMs) {
    OutgoingSnapshot transfer = transfers.get(identity);
    if (transfer == null) {
      transfer = new OutgoingSnapshot(currentOrNewSnapshot(), nowMs);
      transfers.put(identity, transfer);
    } else if (nowMs - transfer.sentMs < SNAPSHOT_PROBE_INTERVAL_MS) {
      return;
    }
    // An inquiry without a chunk: on a slow connection the last one may still be on its way.
    sendChunk(identity, transfer, transfer.offset, nowMs);
  }

  /**
   * Whether this leader should not transfer its leadership now: its successor would have to start
   * the transfers over.
   */
  boolean keepsLeadership(final long nowMs) {
    return transfers.entrySet().stream()
        .anyMatch(
            one -> {
              final OutgoingSnapshot transfer = one.getValue();
              final PeerProgress progress = leaderState.progressByMember().get(one.getKey());
              // A receiver that has the whole needs this leader no more, and one that is silent may
              // be gone.
              return progress != null
                  && transfer.offset < transfer.snapshot.state.length
                  && nowMs - transfer.startedMs < MAX_SNAPSHOT_LEADERSHIP_MS
                  && nowMs - progress.lastContactMs
                      < CONNECTION_TIMEOUT_MS + 2 * SNAPSHOT_PROBE_INTERVAL_MS;
            });
  }

  /**
   * The newest snapshot being sent, or a new one when the log behind that has grown so long that
   * its receiver might never reach the end.
   */
  private Snapshot currentOrNewSnapshot() {
    final List<Snapshot> inProgress =
        transfers.values().stream()
            .map(transfer -> transfer.snapshot)
            .distinct()
            .sorted(Comparator.comparingLong(Snapshot::number).reversed())
            .toList();
    final long applied = raftNode.appliedIndex();
    if (!inProgress.isEmpty()
        && (inProgress.size() >= MAX_CONCURRENT_SNAPSHOTS
            || raftNode
                    .log()
                    .startOfTail(
                        applied, MAX_CATCH_UP_TAIL_ENTRIES / 2, MAX_CATCH_UP_TAIL_BYTES / 2)
                <= inProgress.get(0).lastIndex)) {
      return inProgress.get(0);
    }
    return new Snapshot(
        ++snapshotCount,
        applied,
        raftNode.log().termAt(applied),
        raftNode.log().votersAt(applied),
        raftNode.commitTracker().snapshot());
  }

  private void sendChunk(
      final String identity,
      final OutgoingSnapshot transfer,
      final int endOffset,
      final long nowMs) {
    transfer.sentMs = nowMs;
    transfer.lastAttempt++;
    final Snapshot snapshot = transfer.snapshot;
    final InstallSnapshotRequest request = new InstallSnapshotRequest();
    request.lastIndex = snapshot.lastIndex;
    request.lastTerm = snapshot.lastTerm;
    request.voters = snapshot.voters;
    request.offset = transfer.offset;
    request.totalBytes = snapshot.state.length;
    request.chunk = Arrays.copyOfRange(snapshot.state, transfer.offset, endOffset);
    request.snapshotNumber = snapshot.number;
    request.attempt = transfer.lastAttempt;
    raftNode.sendTo(identity, request);
  }

  void onInstallSnapshotResponse(final InstallSnapshotResponse response) {
    raftNode.observeTerm(response.term);
    final PeerProgress progress = leaderState.progressByMember().get(response.from);
    final OutgoingSnapshot transfer = transfers.get(response.from);
    if (!raftNode.isLeader()
        || response.term != raftNode.currentTerm()
        || progress == null
        || transfer == null
        || transfer.snapshot.number != response.snapshotNumber
        || response.receivedBytes < 0
        || response.receivedBytes > transfer.snapshot.state.length) {
      return;
    }
    final long nowMs = raftNode.context().nowMs();
    progress.lastContactMs = nowMs;
    // Requests keep their order: a response to one before the last chunk does not say whether that
    // chunk arrived.
    if (response.receivedBytes <= transfer.offset && response.attempt < transfer.lastChunkAttempt) {
      return;
    }
    if (response.attempt == transfer.lastAttempt) {
      transfer.chunkSize.onAcknowledged(nowMs - transfer.sentMs);
    }
    transfer.offset = response.receivedBytes;
    if (response.receivedBytes < transfer.snapshot.state.length) {
      sendChunk(
          response.from,
          transfer,
          (int)
              Math.min(
                  (long) transfer.offset + transfer.chunkSize.bytes(),
                  transfer.snapshot.state.length),
          nowMs);
      transfer.lastChunkAttempt = transfer.lastAttempt;
    }
    // With the last chunk the transfer is done: the receiver responds once it has the whole on
    // disk, and is asked until then.
  }

  /**
   * Ends transfers that are done or cannot help any more: the receiver has it, or is gone, or the
   * log begins behind its end.
   */
  void abandonStale(final long nowMs) {
    transfers
        .entrySet()
        .removeIf(
            one -> {
              final PeerProgress progress = leaderState.progressByMember().get(one.getKey());
              final long lastIndex = one.getValue().snapshot.lastIndex;
              return progress == null
                  || progress.matchIndex >= lastIndex
                  || nowMs - progress.lastContactMs > SNAPSHOT_RECEIVER_TIMEOUT_MS
                  || lastIndex < raftNode.log().snapshotIndex();
            });
  }

  /** Up to which index no member that catches up needs the log. */
  long unneededThrough(final long nowMs) {
    long unneeded = Long.MAX_VALUE;
    if (raftNode.isLeader()) {
      for (final Map.Entry<String, PeerProgress> one : leaderState.progressByMember().entrySet()) {
        final OutgoingSnapshot transfer = transfers.get(one.getKey());
        final long heldIndex =
            transfer == null ? one.getValue().matchIndex : transfer.snapshot.lastIndex;
        if (!one.getKey().equals(raftNode.identity())
            && heldIndex >= raftNode.log().snapshotIndex()
            && nowMs - one.getValue().lastContactMs <= SNAPSHOT_RECEIVER_TIMEOUT_MS) {
          unneeded = Math.min(unneeded, heldIndex);
        }
      }
    }
    return unneeded;
  }

  /** Takes a chunk and responds; returns the whole state once the last one is there, else null. */
  byte[] onChunk(final InstallSnapshotRequest request) {
    final boolean sameLeader =
        incoming != null && incoming.from.equals(request.from) && incoming.term == request.term;
    // A late chunk of a snapshot that its sender gave up, or a size that no log can have.
    if (sameLeader && request.snapshotNumber < incoming.snapshotNumber
        || request.totalBytes < 0
        || request.totalBytes > MAX_SNAPSHOT_BYTES) {
      return null;
    }
    if (!sameLeader || request.snapshotNumber > incoming.snapshotNumber) {
      incoming = new IncomingSnapshot(request);
    }
    // A chunk that was lost with a connection leaves a gap: the response says what is missing.
    if (request.offset == incoming.receivedBytes
        && request.chunk.length <= incoming.state.length - incoming.receivedBytes) {
      System.arraycopy(
          request.chunk, 0, incoming.state, incoming.receivedBytes, request.chunk.length);
      incoming.receivedBytes += request.chunk.length;
    }
    final InstallSnapshotResponse response =
        raftNode.withHeader(new InstallSnapshotResponse(), request.from);
    response.lastIndex = request.lastIndex;
    response.receivedBytes = incoming.receivedBytes;
    response.snapshotNumber = request.snapshotNumber;
    response.attempt = request.attempt;
    raftNode.sendTo(request.from, response);
    if (incoming.receivedBytes < incoming.state.length) {
      return null;
    }
    final byte[] state = incoming.state;
    incoming = null;
    return state;
  }

  /** A snapshot that ends at or before the commit index is no longer of use. */
  void onCommitted(final long commit) {
    if (incoming != null && incoming.lastIndex <= commit) {
      incoming = null;
    }
  }
}
