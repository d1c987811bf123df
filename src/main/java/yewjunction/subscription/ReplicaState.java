package yewjunction.subscription;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What is known of the instances made at one replica: w(s), and v(., s) of all elements; and which
 * of the replica's clients are disconnected. The merge rule of docs/paper.md is {@link #merge}.
 */
final class ReplicaState {
  /** w(s). */
  long observed;

  /** v(., s) where it is not 0: topic, client, instance. */
  final Map<String, Map<String, Long>> instances = new HashMap<>();

  /** Raised by the replica alone; the absence with the higher number wins. */
  long disconnectedVersion;

  Set<String> disconnected = new HashSet<>();
  private long digest;
  private boolean digestValid;

  long instance(final String topic, final String client) {
    final Map<String, Long> clients = instances.get(topic);
    return clients == null ? 0 : clients.getOrDefault(client, 0L);
  }

  /** Sets v((topic, client), s); 0 takes the cell away. */
  void set(final String topic, final String client, final long instance) {
    digestValid = false;
    if (instance > 0) {
      instances.computeIfAbsent(topic, key -> new HashMap<>(4)).put(client, instance);
      return;
    }
    final Map<String, Long> clients = instances.get(topic);
    if (clients != null && clients.remove(client) != null && clients.isEmpty()) {
      instances.remove(topic);
    }
  }

  boolean observe(final long newObserved) {
    final boolean more = newObserved > observed;
    if (more) {
      observed = newObserved;
      digestValid = false;
    }
    return more;
  }

  void setDisconnected(final long number, final Set<String> clients) {
    disconnectedVersion = number;
    disconnected = clients;
    digestValid = false;
  }

  /** Takes in another whole state of the same part; loss, reordering and doubling do no harm. */
  void merge(final ReplicaState incoming, final boolean own) {
    final List<Runnable> changes = new ArrayList<>();
    incoming.instances.forEach(
        (topic, clients) ->
            clients.forEach(
                (client, theirs) ->
                    mergeInstance(topic, client, theirs, incoming.observed, changes)));
    // What only this side has active may have been removed there.
    instances.forEach(
        (topic, clients) ->
            clients.forEach(
                (client, mine) -> {
                  if (incoming.instance(topic, client) == 0) {
                    mergeInstance(topic, client, 0, incoming.observed, changes);
                  }
                }));
    changes.forEach(Runnable::run);
    observe(incoming.observed);
    // Only the replica itself says who is away from it.
    if (!own && incoming.disconnectedVersion > disconnectedVersion) {
      setDisconnected(incoming.disconnectedVersion, incoming.disconnected);
    }
  }

  private void mergeInstance(
      final String topic,
      final String client,
      final long theirs,
      final long theirObserved,
      final List<Runnable> changes) {
    final long mine = instance(topic, client);
    final long merged = merge(mine, theirs, observed, theirObserved);
    if (merged != mine) {
      changes.add(() -> set(topic, client, merged));
    }
  }

  /** The paper's rule for one (a, s). */
  static long merge(
      final long mine, final long theirs, final long myObserved, final long theirObserved) {
    // Newer than the own entry but covered here: it was removed here.
    if (theirs > mine && theirs <= myObserved) {
      return 0;
    }
    // The same with the two sides swapped.
    if (mine > theirs && mine <= theirObserved) {
      return 0;
    }
    return Math.max(mine, theirs);
  }

  /** A digest: two replicas that hold the same part have the same one. */
  long digest() {
    if (!digestValid) {
      long sum = mix(observed * 31 + disconnectedVersion);
      for (final Map.Entry<String, Map<String, Long>> topic : instances.entrySet()) {
        final long topicMark = mix(topic.getKey().hashCode());
        for (final Map.Entry<String, Long> client : topic.getValue().entrySet()) {
          sum += mix(topicMark ^ mix(client.getKey().hashCode() + (client.getValue() << 32)));
        }
      }
      digest = sum;
      digestValid = true;
    }
    return digest;
  }

  private static long mix(final long value) {
    long mixed = value * 0x9e3779b97f4a7c15L;
    mixed = (mixed ^ mixed >>> 29) * 0xbf58476d1ce4e5b9L;
    return mixed ^ mixed >>> 32;
  }

  /** Cells held, for judging how long the packed part will be. */
  int size() {
    int size = disconnected.size() + 1;
    for (final Map<String, Long> clients : instances.values()) {
      size += clients.size();
    }
    return size;
  }
}
