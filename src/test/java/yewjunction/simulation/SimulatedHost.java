package yewjunction.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import yewjunction.common.AgentContext;
import yewjunction.common.MessageCodec;
import yewjunction.raft.TaskExecutor;

/**
 * One process's place: it may be up, killed or unreachable; its disk outlives it unless it is
 * wiped.
 */
public final class SimulatedHost implements AgentContext {
  public final SimulatedNetwork network;
  public final String address;
  public SimulatedDisk disk = new SimulatedDisk();
  public long syncMicros = 2_000;
  SimulatedTransport post;

  /** Sees each message before it is taken, and may plant a fault in it. */
  public java.util.function.Consumer<Object> messageFilter = message -> {};

  private java.util.function.BiConsumer<String, Object> datagrams = (from, message) -> {};
  private boolean up;
  private boolean isolated;
  private boolean frozen;
  private long diskStalledUntilMs;

  /** What a frozen process would have done, in the order in which it would have. */
  private final List<Runnable> heldUp = new ArrayList<>();

  private int life;

  SimulatedHost(final SimulatedNetwork network, final String address) {
    this.network = network;
    this.address = address;
  }

  /** A process starts here. */
  public SimulatedTransport boot() {
    if (up) {
      throw new IllegalStateException(address + " is up already");
    }
    up = true;
    isolated = false;
    thaw();
    life++;
    post = new SimulatedTransport(this);
    return post;
  }

  public boolean up() {
    return up;
  }

  boolean isolated() {
    return isolated;
  }

  public int life() {
    return life;
  }

  /** The process dies; its machine answers with resets. */
  public void kill() {
    up = false;
    life++;
    if (post != null) {
      post.drop(true);
    }
  }

  /** The machine loses power: nothing answers, and unsynced writes are at the mercy of chance. */
  public void powerOff() {
    up = false;
    isolated = true;
    life++;
    if (post != null) {
      post.drop(false);
    }
    disk.powerLost(network.random);
  }

  public void wipe() {
    disk = new SimulatedDisk();
  }

  /** Does nothing from now on, though its connections stay up and take what comes. */
  public void freeze() {
    frozen = true;
  }

  public boolean frozen() {
    return frozen;
  }

  public void thaw() {
    frozen = false;
    final List<Runnable> late = new ArrayList<>(heldUp);
    heldUp.clear();
    late.forEach(task -> network.afterMicros(0, task));
  }

  /** Its disk takes nothing until then, as one that stalls or has no room. */
  public void stallDisk(final long forMs) {
    diskStalledUntilMs = network.nowMs() + forMs;
  }

  /** All its connections break, at both ends. */
  public void resetConnections() {
    if (up) {
      post.reset();
    }
  }

  public void guarded(final int ofLife, final Runnable task) {
    if (up && life == ofLife) {
      if (frozen) {
        heldUp.add(() -> guarded(ofLife, task));
      } else {
        task.run();
      }
    }
  }

  @Override
  public long nowMs() {
    return network.nowMs();
  }

  @Override
  public void schedule(final long delayMs, final Runnable task) {
    final int ofLife = life;
    network.after(Math.max(1, delayMs), () -> guarded(ofLife, task));
  }

  @Override
  public void execute(final Runnable command) {
    final int ofLife = life;
    network.afterMicros(10, () -> guarded(ofLife, command));
  }

  @Override
  public Random random() {
    return network.random;
  }

  /**
   * Blocking work takes the disk's time; a process that dies meanwhile may or may not have done it.
   */
  public TaskExecutor executor() {
    final int ofLife = life;
    final SimulatedDisk ofDisk = disk;
    final List<Runnable> waiting = new ArrayList<>();
    return (blocking, continuation) -> {
      waiting.add(
          () ->
              network.afterMicros(
                  syncMicros + 1_000 * Math.max(0, diskStalledUntilMs - network.nowMs()),
                  () ->
                      guarded(
                          ofLife,
                          () -> {
                            if (ofDisk == disk) {
                              blocking.run();
                            }
                            continuation.run();
                            waiting.remove(0);
                            if (!waiting.isEmpty()) {
                              waiting.get(0).run();
                            }
                          })));
      if (waiting.size() == 1) {
        waiting.get(0).run();
      }
    };
  }

  public void onDatagram(final java.util.function.BiConsumer<String, Object> handler) {
    datagrams = handler;
  }

  public void datagram(final String to, final Object message) {
    final MessageCodec codec = post.codec;
    final byte[] bytes = codec.encode(message);
    if (network.meter != null) {
      network.meter.sent(address, to, message, bytes.length);
    }
    final SimulatedHost target = network.known(to);
    if (target == null
        || network.random.nextDouble() < network.loss
        || network.parted(address, to)) {
      return;
    }
    network.afterMicros(
        400 + network.random.nextInt(1_000),
        () -> {
          target.guarded(
              target.life,
              () -> {
                if (network.meter != null) {
                  network.meter.received(to, message, bytes.length);
                }
                target.datagrams.accept(address, codec.decode(bytes, 0, bytes.length));
              });
        });
  }
}
