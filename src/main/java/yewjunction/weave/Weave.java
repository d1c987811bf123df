package yewjunction.weave;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongPredicate;

/**
 * Replica r holds (r, v, w): v is the last active instance per element and replica, w the observed instances.
 * Element = (topic, client). The rules are those of docs/paper.md; the rest of this class only indexes them.
 */
public final class Weave {
    private final Map<String, Map<String, Map<Long, Long>>> active = new HashMap<>();
    private final Map<Long, Long> observed = new HashMap<>();
    private final Presence presence = new Presence();
    private Set<Long> liveReplicas = Set.of();
    private long newestReplica;
    private long self;
    private long changes;
    private byte[] packed;
    private long packedChanges;

    /** The replica's name; 0 for one that only reads. */
    public void self(final long replica) {
        self = replica;
    }

    public long self() {
        return self;
    }

    /** Goes up whenever this replica's state changes. */
    public long changes() {
        return changes;
    }

    /** A new unique instance (self, n): raises w(self) and sets v(a, self). */
    public long add(final String topic, final String client) {
        if (self == 0) {
            throw new IllegalStateException("a replica without a name adds nothing");
        }
        final long instance = observed.merge(self, 1L, Long::sum);
        put(topic, client, self, instance);
        changes++;
        return instance;
    }

    /** Zeroes every v(a, .); w keeps covering the instances, so they cannot come back. */
    public void remove(final String topic, final String client) {
        final Map<String, Map<Long, Long>> clients = active.get(topic);
        if (clients != null && clients.remove(client) != null) {
            changes++;
            if (clients.isEmpty()) {
                active.remove(topic);
            }
        }
    }

    private void put(final String topic, final String client, final long replica, final long instance) {
        active.computeIfAbsent(topic, key -> new HashMap<>()).computeIfAbsent(client, key -> new HashMap<>(2))
            .put(replica, instance);
    }

    private void zero(final String topic, final String client, final long replica) {
        final Map<String, Map<Long, Long>> clients = active.get(topic);
        final Map<Long, Long> instances = clients == null ? null : clients.get(client);
        if (instances != null && instances.remove(replica) != null && instances.isEmpty()) {
            remove(topic, client);
        }
    }

    /** v(a, s), 0 where there is none. */
    public long instance(final String topic, final String client, final long replica) {
        return active.getOrDefault(topic, Map.of()).getOrDefault(client, Map.of()).getOrDefault(replica, 0L);
    }

    /** w(s). */
    public long observed(final long replica) {
        return observed.getOrDefault(replica, 0L);
    }

    /** Whether another replica than this one has an active instance of the element. */
    public boolean elsewhere(final String topic, final String client) {
        for (final long replica : active.getOrDefault(topic, Map.of()).getOrDefault(client, Map.of()).keySet()) {
            if (replica != self) {
                return true;
            }
        }
        return false;
    }

    /** Whether some client of that replica has an active instance for the topic. */
    public boolean reaches(final String topic, final long replica) {
        final Map<String, Map<Long, Long>> clients = active.get(topic);
        if (clients != null) {
            for (final Map<Long, Long> instances : clients.values()) {
                if (instances.containsKey(replica)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Clients that subscribe and are there, each once, over all live replicas. */
    public int count(final String topic, final LongPredicate live) {
        int count = 0;
        for (final Map.Entry<String, Map<Long, Long>> one : active.getOrDefault(topic, Map.of()).entrySet()) {
            for (final long replica : one.getValue().keySet()) {
                if (live.test(replica) && !presence.away(replica, one.getKey())) {
                    count++;
                    break;
                }
            }
        }
        return count;
    }

    public void absent(final String client, final boolean away) {
        if (presence.set(self, client, away)) {
            changes++;
        }
    }

    /** Topics of a client with an active instance made here. */
    public List<String> topicsHere(final String client) {
        final List<String> topics = new ArrayList<>();
        active.forEach((topic, clients) -> {
            if (clients.getOrDefault(client, Map.of()).containsKey(self)) {
                topics.add(topic);
            }
        });
        return topics;
    }

    // --- exchange ---

    public byte[] state() {
        // Packed once however many siblings it goes to.
        if (packed == null || packedChanges != changes) {
            packed = Pattern.pack(active, observed, presence.all());
            packedChanges = changes;
        }
        return packed;
    }

    /** Merges a whole state; loss, reordering and doubling of states do no harm. */
    public void receive(final byte[] state) {
        final Pattern incoming = Pattern.unpack(state);
        incoming.observed().keySet().removeIf(this::retired);
        final List<Cell> changedCells = new ArrayList<>();
        incoming.active().forEach((topic, clients) -> clients.forEach((client, instances) ->
            instances.forEach((replica, theirs) -> {
                if (!retired(replica)) {
                    compare(topic, client, replica, instance(topic, client, replica), theirs, incoming, changedCells);
                }
            })));
        // What only this side has active may have been removed there.
        active.forEach((topic, clients) -> {
            final Map<String, Map<Long, Long>> theirClients = incoming.active().getOrDefault(topic, Map.of());
            clients.forEach((client, instances) -> {
                final Map<Long, Long> theirInstances = theirClients.getOrDefault(client, Map.of());
                instances.forEach((replica, mine) -> {
                    if (!theirInstances.containsKey(replica)) {
                        compare(topic, client, replica, mine, 0, incoming, changedCells);
                    }
                });
            });
        });
        boolean changed = !changedCells.isEmpty();
        for (final Cell cell : changedCells) {
            if (cell.merged == 0) {
                zero(cell.topic, cell.client, cell.replica);
            } else {
                put(cell.topic, cell.client, cell.replica, cell.merged);
            }
        }
        for (final Map.Entry<Long, Long> one : incoming.observed().entrySet()) {
            if (one.getValue() > observed(one.getKey())) {
                observed.put(one.getKey(), one.getValue());
                changed = true;
            }
        }
        changed |= presence.merge(self, incoming.absences(), this::retired);
        if (changed) {
            changes++;
        }
    }

    private void compare(final String topic, final String client, final long replica, final long mine, final long theirs,
            final Pattern incoming, final List<Cell> changedCells) {
        final long merged = merge(mine, theirs, observed(replica), incoming.observed().getOrDefault(replica, 0L));
        if (merged != mine) {
            changedCells.add(new Cell(topic, client, replica, merged));
        }
    }

    /** The paper's rule for one (a, s). */
    static long merge(final long mine, final long theirs, final long myObserved, final long theirObserved) {
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

    // --- departed replicas ---

    private boolean retired(final long replica) {
        // Names are given in rising order: one above the newest known is new, not retired.
        return replica <= newestReplica && !liveReplicas.contains(replica);
    }

    /** Charter's word on which names live; the others' entries are dropped and their w compacted. */
    public void replicas(final long newest, final Set<Long> live) {
        if (newest < newestReplica) {
            return;
        }
        newestReplica = newest;
        liveReplicas = Set.copyOf(live);
        final List<Cell> dropped = new ArrayList<>();
        active.forEach((topic, clients) -> clients.forEach((client, instances) -> instances.keySet().forEach(replica -> {
            if (retired(replica)) {
                dropped.add(new Cell(topic, client, replica, 0));
            }
        })));
        dropped.forEach(cell -> zero(cell.topic, cell.client, cell.replica));
        if (observed.keySet().removeIf(this::retired) | presence.drop(this::retired) | !dropped.isEmpty()) {
            changes++;
        }
    }

    /** One (a, s) and what becomes of it. */
    private record Cell(String topic, String client, long replica, long merged) {
    }
}
