package yewjunction.simulation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

/** Simulated time, machines and network; one seed drives all of it. */
public final class SimulatedNetwork {
  public final Random random;
  private final PriorityQueue<ScheduledEvent> queue = new PriorityQueue<>();
  private final Map<String, SimulatedHost> hosts = new TreeMap<>();
  private final Set<String> cuts = new HashSet<>();
  private long nowMicros;
  private long order;
  private String draggedMachine;
  private long dragMicros;

  /**
   * Bytes a second that a machine may send, and until when its connection is busy with what it was
   * given.
   */
  private final Map<String, Long> narrow = new TreeMap<>();

  private final Map<String, Long> busyMicros = new TreeMap<>();

  /** Share of datagrams lost, and of TCP pieces that need to be sent again. */
  public double loss = 0.01;

  /** Counts all messages; null for nobody. */
  public TrafficMeter meter;

  private record ScheduledEvent(long atMicros, long order, Runnable task)
      implements Comparable<ScheduledEvent> {
    @Override
    public int compareTo(final ScheduledEvent other) {
      final int byTime = Long.compare(atMicros, other.atMicros);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  public SimulatedNetwork(final long seed) {
    random = new Random(seed);
  }

  public long nowMs() {
    return nowMicros / 1_000;
  }

  long nowMicros() {
    return nowMicros;
  }

  public void afterMicros(final long delayMicros, final Runnable task) {
    queue.add(new ScheduledEvent(nowMicros + Math.max(0, delayMicros), order++, task));
  }

  public void after(final long delayMs, final Runnable task) {
    afterMicros(delayMs * 1_000, task);
  }

  public void every(final long periodMs, final Runnable task) {
    after(
        periodMs,
        () -> {
          every(periodMs, task);
          task.run();
        });
  }

  public SimulatedHost host(final String address) {
    return hosts.computeIfAbsent(address, key -> new SimulatedHost(this, key));
  }

  SimulatedHost known(final String address) {
    return hosts.get(address);
  }

  public List<SimulatedHost> hosts() {
    return new ArrayList<>(hosts.values());
  }

  public void runFor(final long ms) {
    final long endMicros = nowMicros + ms * 1_000;
    while (!queue.isEmpty() && queue.peek().atMicros <= endMicros) {
      step();
    }
    nowMicros = endMicros;
  }

  /** Runs until it holds; false when the time is over. */
  public boolean runUntil(final BooleanSupplier holds, final long mostMs) {
    final long endMicros = nowMicros + mostMs * 1_000;
    while (!holds.getAsBoolean()) {
      if (queue.isEmpty() || queue.peek().atMicros > endMicros) {
        return false;
      }
      step();
    }
    return true;
  }

  private void step() {
    final ScheduledEvent next = queue.poll();
    nowMicros = next.atMicros;
    next.task.run();
  }

  private static String way(final String from, final String to) {
    return machine(from) + " " + machine(to);
  }

  static String machine(final String address) {
    return address.substring(0, address.indexOf(':'));
  }

  public void cut(final String one, final String other) {
    cutOneWay(one, other);
    cutOneWay(other, one);
  }

  /** Nothing arrives from the one at the other; the way back stays open. */
  public void cutOneWay(final String from, final String to) {
    cuts.add(way(from, to));
  }

  public void join() {
    cuts.clear();
  }

  boolean parted(final String from, final String to) {
    return cuts.contains(way(from, to));
  }

  /** A machine whose connections, and only its, are slow. */
  public void drag(final String address, final long extraMs) {
    draggedMachine = machine(address);
    dragMicros = extraMs * 1_000;
  }

  /** A machine whose connection to all others carries no more than that. */
  public void narrow(final String address, final long bytesPerSecond) {
    narrow.put(machine(address), bytesPerSecond);
  }

  /** How long a message waits for, and spends on, the sender's connection. */
  long linkMicros(final String from, final int bytes) {
    final Long rate = narrow.get(machine(from));
    if (rate == null) {
      return 0;
    }
    final long doneMicros =
        Math.max(nowMicros, busyMicros.getOrDefault(machine(from), 0L)) + bytes * 1_000_000L / rate;
    busyMicros.put(machine(from), doneMicros);
    return doneMicros - nowMicros;
  }

  long delayMicros(final String one, final String other) {
    final boolean dragged =
        machine(one).equals(draggedMachine) || machine(other).equals(draggedMachine);
    return delayMicros() + (dragged ? dragMicros : 0);
  }

  /** One way, with a piece that is lost sent again after a while. */
  long delayMicros() {
    return 400 + random.nextInt(1_200) + (random.nextDouble() < loss ? 210_000 : 0);
  }
}
