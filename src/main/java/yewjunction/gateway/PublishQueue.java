package yewjunction.gateway;

import static yewjunction.common.Limits.INTAKE_BYTES;
import static yewjunction.common.Limits.INTAKE_MOST;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import yewjunction.common.PeerConnection;
import yewjunction.common.PendingRequests;
import yewjunction.control.Configuration.Route;
import yewjunction.store.StoredMessage;

/**
 * Messages that wait to be offered to a leader: a lane for each tenant, in the order of arrival,
 * and lanes take turns.
 */
final class PublishQueue {
  private final Map<String, ArrayDeque<PendingPublish>> lanes = new LinkedHashMap<>();
  private int size;
  private long bytes;

  /** One message of a client, until it has its final answer. */
  static final class PendingPublish {
    final long request;
    final ClientSession berth;
    final StoredMessage message;
    final String tenant;
    final long startMs;
    final Route space;
    final long timeoutMs;

    /** On its way to a leader right now. */
    boolean offered;

    /**
     * Each offer is a question of its own: only the newest one's denial binds, for another leader
     * may have been asked since.
     */
    final List<Long> offers = new ArrayList<>(1);

    /**
     * Left this edge, or may have left another, at least once: then only the leader may promise
     * that it was not accepted.
     */
    boolean sent;

    /** It must not be accepted any more, and only a leader may promise that. */
    boolean revoked;

    PendingPublish(
        final long request,
        final ClientSession berth,
        final StoredMessage message,
        final String tenant,
        final long startMs,
        final Route space) {
      this.request = request;
      this.berth = berth;
      this.message = message;
      this.tenant = tenant;
      this.startMs = startMs;
      this.space = space;
      timeoutMs = space.timeoutMs();
    }

    /** Goes to a leader; the number that its verdict is to repeat. */
    long offer(
        final PendingRequests<PeerConnection, PendingPublish> questions,
        final PeerConnection link) {
      offered = true;
      sent = true;
      final long number = questions.ask(link, this);
      offers.add(number);
      return number;
    }

    boolean newestOffer(final long offer) {
      return !offers.isEmpty() && offers.get(offers.size() - 1) == offer;
    }
  }

  /** False when there is no room. */
  boolean add(final PendingPublish parcel) {
    if (size >= INTAKE_MOST || bytes >= INTAKE_BYTES) {
      return false;
    }
    put(parcel);
    return true;
  }

  /** One that had its place already. */
  void put(final PendingPublish parcel) {
    lanes.computeIfAbsent(parcel.tenant, key -> new ArrayDeque<>()).add(parcel);
    size++;
    bytes += parcel.message.body.length;
  }

  /**
   * The next one of the tenant whose turn it is; the tenant then waits until all others had theirs.
   */
  PendingPublish next() {
    final Map.Entry<String, ArrayDeque<PendingPublish>> first = lanes.entrySet().iterator().next();
    final ArrayDeque<PendingPublish> lane = lanes.remove(first.getKey());
    final PendingPublish parcel = lane.poll();
    if (!lane.isEmpty()) {
      lanes.put(first.getKey(), lane);
    }
    left(parcel);
    return parcel;
  }

  void remove(final PendingPublish parcel) {
    final ArrayDeque<PendingPublish> lane = lanes.get(parcel.tenant);
    if (lane != null && lane.remove(parcel)) {
      left(parcel);
      if (lane.isEmpty()) {
        lanes.remove(parcel.tenant);
      }
    }
  }

  private void left(final PendingPublish parcel) {
    size--;
    bytes -= parcel.message.body.length;
  }

  void clear() {
    lanes.clear();
    size = 0;
    bytes = 0;
  }

  int size() {
    return size;
  }

  boolean isEmpty() {
    return size == 0;
  }
}
