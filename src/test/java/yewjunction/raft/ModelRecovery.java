package yewjunction.raft;

import java.util.List;
import java.util.function.BooleanSupplier;

/** The world without a scheduler: messages arrive, disks work, and clocks run alike. */
final class ModelRecovery {
  /**
   * ms; a leader is there, a proposal is acknowledged and all votes are filled within this once all
   * is well again.
   */
  private static final int GOES_ON_MS = 20_000;

  /** ms; from one proposal to the next. */
  private static final int PROPOSE_MS = 50;

  private final ModelWorld world;
  private int atMs;

  ModelRecovery(final ModelWorld world) {
    this.world = world;
  }

  /** Messages arrive and disks work, without any timer, until nothing is under way. */
  void drain() {
    boolean more = true;
    while (more) {
      more = deliver() | work();
    }
  }

  /** What is under way by now arrives; answers to it do not. */
  private boolean deliver() {
    boolean any = false;
    for (final ModelTransport.Connection connection : List.copyOf(world.connections)) {
      for (final ModelTransport.End end : List.of(connection.acceptor, connection.initiator)) {
        for (int count = end.inbound.size(); count > 0 && !end.inbound.isEmpty(); count--) {
          end.deliver();
          world.monitor.look(end.owner);
          any = true;
        }
      }
    }
    world.connections.removeIf(ModelTransport.Connection::isOver);
    return any;
  }

  private boolean work() {
    boolean any = false;
    for (final ModelHost host : world.hosts) {
      if (!host.diskTasks.isEmpty()) {
        host.diskWorks();
        world.monitor.look(host);
        any = true;
      }
    }
    return any;
  }

  private void tick() {
    atMs++;
    deliver();
    work();
    for (final ModelHost host : world.hosts) {
      host.clockGoesTo(host.nowMs + 1);
      world.monitor.look(host);
    }
  }

  private boolean within(final int mostMs, final BooleanSupplier holds) {
    while (!holds.getAsBoolean()) {
      if (atMs >= mostMs) {
        return false;
      }
      if (atMs % PROPOSE_MS == 0) {
        world.hosts.stream().filter(host -> host.raftNode.isReadyLeader()).forEach(world::propose);
      }
      tick();
    }
    return true;
  }

  void goesOn() {
    final long before = world.monitor.acknowledgements();
    final boolean served =
        within(
            GOES_ON_MS,
            () -> world.monitor.acknowledgements() > before && world.monitor.allVotesHeld());
    if (!served) {
      throw new ModelViolation(
          "it goes on: no leader, no acknowledged proposal or a vote that nobody holds after "
              + GOES_ON_MS
              + " ms of plain time: "
              + world.monitor.standing());
    }
  }
}
