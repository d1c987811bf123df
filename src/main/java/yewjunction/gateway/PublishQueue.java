package yewjunction.gateway;

import static yewjunction.limits.ClientLimits.MAX_QUEUED_PUBLISHES;
import static yewjunction.limits.ClientLimits.MAX_QUEUED_PUBLISH_BYTES;

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

  /** One message of a client, until it has its final answer. */
  static final class PendingPublish {
    final long id;
    final ClientSession session;
    final StoredMessage message;
    final String tenant;
    final long receivedMs;
    final Route route;
    final long timeoutMs;

    /** On its way to a leader right now. */
    boolean inFlight;

    /**
     * Each offer is a question of its own: only the newest one's denial binds, for another leader
     * may have been asked since.
     */
    final List<Long> requestIds = new ArrayList<>(1);

    /**
     * Left this edge, or may have left another, at least once: then only the leader may promise
     * that it was not accepted.
     */
    boolean maybeSent;

    /** It must not be accepted any more, and only a leader may promise that. */
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

    /** Goes to a leader; the number that its verdict is to repeat. */
    long onSent(
        final PendingRequests<PeerConnection, PendingPublish> pendingRequests,
        final PeerConnection connection) {
      inFlight = true;
      maybeSent = true;
      final long number = pendingRequests.add(connection, this);
      requestIds.add(number);
      return number;
    }

    boolean isNewestRequest(final long offer) {
      return !requestIds.isEmpty() && requestIds.get(requestIds.size() - 1) == offer;
    }
  }

  /** False when there is no room. */
  boolean add(final PendingPublish publish) {
    if (size >= MAX_QUEUED_PUBLISHES || bytes >= MAX_QUEUED_PUBLISH_BYTES) {
      return false;
    }
    requeue(publish);
    return true;
  }

  /** One that had its place already. */
  void requeue(final PendingPublish publish) {
    queueByTenant.computeIfAbsent(publish.tenant, key -> new ArrayDeque<>()).add(publish);
    size++;
    bytes += publish.message.body.length;
  }

  /**
   * The next one of the tenant whose turn it is; the tenant then waits until all others had theirs.
   */
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
