package yewjunction.subscription;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.LongPredicate;

/**
 * The optimised add-wins set of the paper (docs/paper.md), with elements (topic, client). A replica
 * r holds (r, v, w): v is the last active instance of each element made at each replica, w the
 * instances of each replica that were observed.
 *
 * <p>It is kept by replica: the merge rule for an element and a replica looks at that replica's v
 * and w alone, so the state of one replica is compared, sent and merged by itself. Merging is
 * commutative, associative and idempotent: loss, reordering and repetition do no harm.
 *
 * <p>All calls on the agent's thread.
 */
public final class AddWinsSet {
  private final Map<Long, ReplicaState> states = new HashMap<>();
  private final Set<Long> locallyChanged = new HashSet<>();
  private Set<Long> liveReplicaIds = Set.of();
  private long newestReplicaId;
  private long self;

  /** The replica's name; 0 for one that only reads. */
  public void self(final long replica) {
    self = replica;
    if (replica != 0) {
      stateOf(replica);
    }
  }

  /** The id of this replica, 0 for one that only reads. */
  public long self() {
    return self;
  }

  private ReplicaState stateOf(final long replica) {
    return states.computeIfAbsent(replica, key -> new ReplicaState());
  }

  /** A new unique instance (self, n): raises w(self) and sets v(a, self). */
  public long add(final String topic, final String client) {
    if (self == 0) {
      throw new IllegalStateException("a replica without a name adds nothing");
    }
    final ReplicaState own = stateOf(self);
    own.observe(own.observed + 1);
    own.set(topic, client, own.observed);
    locallyChanged.add(self);
    return own.observed;
  }

  /** Zeroes every v(a, .); w keeps covering the instances, so they cannot come back. */
  public void remove(final String topic, final String client) {
    remove(topic, client, 0);
  }

  /**
   * A remove, and an add at that replica which is known to have followed it: its instance stays.
   */
  public void moveTo(final String topic, final String client, final long replica) {
    remove(topic, client, replica);
  }

  private void remove(final String topic, final String client, final long spared) {
    states.forEach(
        (replica, replicaState) -> {
          if (replica != spared && replicaState.instance(topic, client) > 0) {
            replicaState.set(topic, client, 0);
            locallyChanged.add(replica);
          }
        });
  }

  /** v(a, s), 0 where there is none. */
  public long instance(final String topic, final String client, final long replica) {
    final ReplicaState replicaState = states.get(replica);
    return replicaState == null ? 0 : replicaState.instance(topic, client);
  }

  /** w(s). */
  public long observed(final long replica) {
    final ReplicaState replicaState = states.get(replica);
    return replicaState == null ? 0 : replicaState.observed;
  }

  /** Whether another replica than this one has an active instance of the element. */
  public boolean isActiveElsewhere(final String topic, final String client) {
    for (final Map.Entry<Long, ReplicaState> one : states.entrySet()) {
      if (one.getKey() != self && one.getValue().instance(topic, client) > 0) {
        return true;
      }
    }
    return false;
  }

  /** Whether some client of that replica has an active instance for the topic. */
  public boolean hasSubscriber(final String topic, final long replica) {
    final ReplicaState replicaState = states.get(replica);
    return replicaState != null && replicaState.instances.containsKey(topic);
  }

  /** Clients that subscribe and are there, each once, over all live replicas. */
  public int count(final String topic, final LongPredicate live) {
    final Set<String> there = new HashSet<>();
    states.forEach(
        (replica, replicaState) -> {
          final Map<String, Long> clients = replicaState.instances.get(topic);
          if (clients != null && live.test(replica)) {
            clients.keySet().stream()
                .filter(client -> !replicaState.disconnected.contains(client))
                .forEach(there::add);
          }
        });
    return there.size();
  }

  /** Marks a client of this replica as disconnected, or as back. */
  public void setDisconnected(final String client, final boolean away) {
    final ReplicaState own = self == 0 ? null : stateOf(self);
    if (own != null && own.disconnected.contains(client) != away) {
      final Set<String> clients = new HashSet<>(own.disconnected);
      if (away) {
        clients.add(client);
      } else {
        clients.remove(client);
      }
      own.setDisconnected(own.disconnectedVersion + 1, clients);
      locallyChanged.add(self);
    }
  }

  /** Topics of a client with an active instance made here. */
  public List<String> topicsOf(final String client) {
    final List<String> topics = new ArrayList<>();
    stateOf(self)
        .instances
        .forEach(
            (topic, clients) -> {
              if (clients.containsKey(client)) {
                topics.add(topic);
              }
            });
    return topics;
  }

  // --- exchange ---

  /** Parts changed by this replica's own operations since they were last taken. */
  public Set<Long> takeLocallyChanged() {
    final Set<Long> taken = new HashSet<>(locallyChanged);
    locallyChanged.clear();
    return taken;
  }

  /** The whole state. */
  public byte[] encodeStates() {
    return ReplicaStateCodec.encode(states);
  }

  /** The whole states of some parts. */
  public byte[] encodeStates(final Collection<Long> replicas) {
    final Map<Long, ReplicaState> chosen = new LinkedHashMap<>();
    for (final long replica : replicas) {
      if (states.containsKey(replica)) {
        chosen.put(replica, states.get(replica));
      }
    }
    return ReplicaStateCodec.encode(chosen);
  }

  /** The digest of a replica's part. */
  public long digest(final long replica) {
    final ReplicaState replicaState = states.get(replica);
    return replicaState == null ? 0 : replicaState.digest();
  }

  /** A digest of each replica's state, to be compared by another process. */
  public byte[] encodeDigests() {
    final Map<Long, Long> marks = new HashMap<>();
    states.forEach((replica, replicaState) -> marks.put(replica, replicaState.digest()));
    return ReplicaStateCodec.encodeDigests(marks);
  }

  /** Parts held here that differ from those digests, in any order, up to about so many cells. */
  public List<Long> differingReplicas(
      final byte[] theirMarks, final int mostCells, final Random random) {
    return differingReplicasOf(states.keySet(), theirMarks, mostCells, random);
  }

  /** The same, of some replicas. */
  public List<Long> differingReplicasOf(
      final Collection<Long> of,
      final byte[] theirMarks,
      final int mostCells,
      final Random random) {
    final Map<Long, Long> theirs = ReplicaStateCodec.decodeDigests(theirMarks);
    final List<Long> replicas = new ArrayList<>(of);
    replicas.retainAll(states.keySet());
    Collections.shuffle(replicas, random);
    final List<Long> news = new ArrayList<>();
    int cells = 0;
    for (final long replica : replicas) {
      final ReplicaState replicaState = states.get(replica);
      final Long theirMark = theirs.get(replica);
      if (cells < mostCells && (theirMark == null || theirMark != replicaState.digest())) {
        news.add(replica);
        cells += replicaState.size();
      }
    }
    return news;
  }

  /** Parts named by those digests that differ here or are unknown. */
  public List<Long> missingReplicas(final byte[] theirMarks) {
    final List<Long> wanted = new ArrayList<>();
    ReplicaStateCodec.decodeDigests(theirMarks)
        .forEach(
            (replica, mark) -> {
              if (!isRetired(replica) && digest(replica) != mark) {
                wanted.add(replica);
              }
            });
    return wanted;
  }

  /**
   * Merges whole states of some or all parts; loss, reordering and doubling of states do no harm.
   */
  public void merge(final byte[] state) {
    ReplicaStateCodec.decode(state)
        .forEach(
            (replica, incoming) -> {
              if (!isRetired(replica)) {
                stateOf(replica).merge(incoming, replica == self);
              }
            });
  }

  // --- departed replicas ---

  private boolean isRetired(final long replica) {
    // Names are given in rising order: one above the newest known is new, not retired.
    return replica <= newestReplicaId && !liveReplicaIds.contains(replica);
  }

  /**
   * The control plane's word on which names live; the others' entries are dropped and their w
   * compacted.
   */
  public void setReplicas(final long newest, final Set<Long> live) {
    if (newest >= newestReplicaId) {
      newestReplicaId = newest;
      liveReplicaIds = Set.copyOf(live);
      states.keySet().removeIf(this::isRetired);
    }
  }
}
