package yewjunction.raft;

import java.io.ByteArrayOutputStream;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A hash of all that a member's code holds, read field by field, so that nothing is left out by
 * hand: tables, what waits for a disk, timers with what they will do, messages under way. Moments
 * count from the member's own clock.
 */
final class ModelDigest {
  /** ms; longer ago than any patience in the code. */
  private static final long LONG_AGO_MS = 15_000;

  private static final Map<Class<?>, Field[]> FIELDS = new ConcurrentHashMap<>();
  private static final Map<Class<?>, Boolean> OWNERS = new ConcurrentHashMap<>();
  private final Map<Object, Boolean> met = new IdentityHashMap<>();
  private long nowMs;

  static long of(final ModelWorld world) {
    return new ModelDigest().whole(world);
  }

  private static long mix(final long hash, final long value) {
    long mixed = (hash ^ value) * 0x9E3779B97F4A7C15L;
    mixed ^= mixed >>> 29;
    return mixed * 0xBF58476D1CE4E5B9L ^ mixed >>> 32;
  }

  private long whole(final ModelWorld world) {
    long hash = 1;
    for (final ModelHost host : world.hosts) {
      nowMs = host.nowMs;
      hash = mix(hash, host.wipes + (host.leaving ? 100 : 0));
      hash = mix(hash, value(host.disk.durable()));
      hash = mix(hash, host.disk.hasUnsynced() ? value(host.disk.read("")) : 0);
      if (host.up()) {
        hash = mix(hash, value(host.raftNode));
        hash = mix(hash, value(host.diskTasks));
        final List<ModelHost.Timer> timers = new ArrayList<>(host.timers);
        timers.sort(
            Comparator.comparingLong(ModelHost.Timer::atMs)
                .thenComparingLong(ModelHost.Timer::order));
        for (final ModelHost.Timer timer : timers) {
          hash = mix(mix(hash, timer.atMs() - nowMs), value(timer.task()));
        }
      }
    }
    for (final ModelTransport.Connection connection : world.connections) {
      hash = mix(hash, endHash(connection.initiator));
      hash = mix(mix(hash, endHash(connection.acceptor)), connection.intact ? 1 : 2);
    }
    hash = mix(hash, value(world.monitor.history));
    hash = mix(mix(hash, value(world.monitor.leaders)), value(world.monitor.newest()));
    return mix(hash, Arrays.hashCode(world.budget.left));
  }

  private long endHash(final ModelTransport.End end) {
    long hash =
        mix(
            mix(end.owner.number, end.remoteEnd().owner.number),
            (end == end.connection.initiator ? 1 : 2) + (end.open ? 0 : 4));
    for (final byte[] message : end.inbound) {
      hash = mix(hash, value(message));
    }
    return hash;
  }

  private long value(final Object object) {
    if (object == null) {
      return 3;
    }
    if (object instanceof byte[] bytes) {
      return mix(bytes.length, Arrays.hashCode(bytes)) + polynomial(bytes);
    }
    if (object instanceof String || object instanceof Number || object instanceof Boolean) {
      return mix(5, object.hashCode());
    }
    if (object instanceof ModelTransport.End end) {
      return endHash(end);
    }
    if (object instanceof ByteArrayOutputStream bytes) {
      return value(bytes.toByteArray());
    }
    if (object instanceof Map<?, ?> map) {
      long sum = 7;
      for (final Map.Entry<?, ?> one : map.entrySet()) {
        sum += mix(value(one.getKey()), value(one.getValue()));
      }
      return sum;
    }
    if (object instanceof Set<?> set) {
      return set.stream().mapToLong(one -> mix(11, value(one))).sum();
    }
    if (object instanceof Collection<?> collection) {
      long hash = 13;
      for (final Object one : collection) {
        hash = mix(hash, value(one));
      }
      return hash;
    }
    return fields(object);
  }

  private static long polynomial(final byte[] bytes) {
    long hash = 17;
    for (final byte one : bytes) {
      hash = hash * 1_000_003 + one;
    }
    return hash;
  }

  /** Those that own tables are read once; all else is small and read wherever it stands. */
  private static boolean owner(final Object object) {
    return object instanceof RaftNode
        || object instanceof RaftStorage
        || object instanceof AppendOnlyFile
        || object instanceof RaftLog
        || object instanceof ModelHost.RecordingStateMachine
        || OWNERS.computeIfAbsent(
            object.getClass(),
            kind ->
                !kind.isHidden()
                    && Arrays.stream(kind.getDeclaredFields())
                        .anyMatch(field -> field.getType() == RaftNode.class));
  }

  private long fields(final Object object) {
    // The world around is digested by itself.
    if (object instanceof ModelHost
        || object instanceof ModelTransport
        || object instanceof ModelDisk
        || object instanceof ModelWorld
        || object instanceof ModelMonitor
        || object instanceof VoterPlacement
        || object instanceof Enum) {
      return object instanceof Enum<?> one ? one.ordinal() : 19;
    }
    if (owner(object) && met.putIfAbsent(object, true) != null) {
      return 23;
    }
    long hash = object.getClass().getName().hashCode();
    try {
      for (final Field field : FIELDS.computeIfAbsent(object.getClass(), ModelDigest::readable)) {
        hash = mix(hash, field(field, object));
      }
    } catch (final IllegalAccessException failure) {
      throw new IllegalStateException(failure);
    }
    return hash;
  }

  private long field(final Field field, final Object object) throws IllegalAccessException {
    final Class<?> type = field.getType();
    if (type == long.class) {
      final long number = field.getLong(object);
      // A round trip is a span, all others are moments.
      return field.getName().endsWith("Ms") && !field.getName().equals("roundTripMs")
          ? Math.min(LONG_AGO_MS, nowMs - number)
          : number;
    }
    if (type == int.class) {
      return field.getInt(object);
    }
    if (type == boolean.class) {
      return field.getBoolean(object) ? 1 : 0;
    }
    if (type == double.class) {
      return Double.doubleToLongBits(field.getDouble(object));
    }
    return value(field.get(object));
  }

  private static Field[] readable(final Class<?> kind) {
    final List<Field> all = new ArrayList<>();
    for (Class<?> at = kind;
        at != null && at != Object.class && at != java.lang.Record.class;
        at = at.getSuperclass()) {
      if (at.getName().startsWith("java.")) {
        throw new IllegalStateException("how to read " + at + "?");
      }
      for (final Field field : at.getDeclaredFields()) {
        if (!Modifier.isStatic(field.getModifiers())) {
          field.setAccessible(true);
          all.add(field);
        }
      }
    }
    return all.toArray(new Field[0]);
  }
}
