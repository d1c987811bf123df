package yewjunction.gateway;

import static yewjunction.limits.ClientLimits.MAX_QUEUED_PUBLISHES;
import static yewjunction.limits.ClientLimits.MAX_QUEUED_PUBLISH_BYTES;
import static yewjunction.limits.ClientLimits.MIN_REPORTED_HOLD_MS;

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
 * Messages that wait to be sent to the leader: a queue a tenant, in the order of arrival, and the
 * queues take turns.
 */
final class PublishQueue {
  private final Map<String, ArrayDeque<PendingPublish>> queueByTenant = new LinkedHashMap<>();
  private int size;
  private long bytes;

  /** One message of a client, until it is answered. */
  static final class PendingPublish {
    final long id;
    final ClientSession session;
    final StoredMessage message;
    final String tenant;
    final long receivedMs;
    final Route route;
    final long timeoutMs;

    /** Whether it is on its way to a leader right now. */
    boolean inFlight;

    /** Ids of all requests for it; only a denial of the newest one counts. */
    final List<Long> requestIds = new ArrayList<>(1);

    /** Whether it must not be accepted any more, which only a leader can promise. */
    boolean revoked;

    PendingPublish(
        final long request,
        final ClientSession session,
        final StoredMessage message,
        final String tenant,
        final long startMs,
        final Route route) {
      this.id = request;
      this.session = session;
      this.message = message;
      this.tenant = tenant;
      this.receivedMs = startMs;
      this.route = route;
      timeoutMs = route.timeoutMs();
    }

    /** Notes that it is sent to a leader; returns the id of the request. */
    long onSent(
        final PendingRequests<PeerConnection, PendingPublish> pendingRequests,
        final PeerConnection connection) {
      inFlight = true;
      final long number = pendingRequests.add(connection, this);
      requestIds.add(number);
      return number;
    }

    /** Milliseconds since it came to this edge; null when that is too short to matter. */
    Integer heldMs(final long nowMs) {
      final long heldMs = nowMs - receivedMs;
      return heldMs < MIN_REPORTED_HOLD_MS ? null : Math.toIntExact(heldMs);
    }

    boolean isNewestRequest(final long offer) {
      return !requestIds.isEmpty() && requestIds.get(requestIds.size() - 1) == offer;
    }
  }

  /** Adds a message; returns false when there is no room. */
  boolean add(final PendingPublish publish) {
    if (size >= MAX_QUEUED_PUBLISHES || bytes >= MAX_QUEUED_PUBLISH_BYTES) {
      return false;
    }
    requeue(publish);
    return true;
  }

  /** Adds a message that had a place already. */
  void requeue(final PendingPublish publish) {
    queueByTenant.computeIfAbsent(publish.tenant, key -> new ArrayDeque<>()).add(publish);
    size++;
    bytes += publish.message.body.length;
  }

  /** Takes the next message of the tenant whose turn it is. */
  PendingPublish next() {
    final Map.Entry<String, ArrayDeque<PendingPublish>> first =
        queueByTenant.entrySet().iterator().next();
    final ArrayDeque<PendingPublish> queue = queueByTenant.remove(first.getKey());
    final PendingPublish publish = queue.poll();
    if (!queue.isEmpty()) {
      queueByTenant.put(first.getKey(), queue);
    }
    onRemoved(publish);
    return publish;
  }

  void remove(final PendingPublish publish) {
    final ArrayDeque<PendingPublish> queue = queueByTenant.get(publish.tenant);
    if (queue != null && queue.remove(publish)) {
      onRemoved(publish);
      if (queue.isEmpty()) {
        queueByTenant.remove(publish.tenant);
      }
    }
  }

  private void onRemoved(final PendingPublish publish) {
    size--;
    bytes -= publish.message.body.length;
  }

  void clear() {
    queueByTenant.clear();
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
