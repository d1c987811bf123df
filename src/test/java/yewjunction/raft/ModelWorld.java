package yewjunction.raft;

import static yewjunction.raft.ModelStep.of;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import yewjunction.common.YewjunctionException;

/** The members of one group and everything between them; moves only by the scheduler's steps. */
final class ModelWorld {
  final ModelSetup setup;
  final ModelFault fault;
  final List<ModelHost> hosts = new ArrayList<>();
  final List<ModelTransport.Connection> connections = new ArrayList<>();
  final ModelMonitor monitor = new ModelMonitor(this);
  ModelBudget budget;

  /** Messages so far, whether they arrive or not. */
  long sent;

  /** The plain clock draws; the scheduler does not. */
  Random plainLuck;

  private long proposed;

  ModelWorld(final ModelSetup setup, final ModelFault fault) {
    this.setup = setup;
    this.fault = fault;
    for (final String address : setup.addresses()) {
      hosts.add(new ModelHost(this, hosts.size(), address));
    }
    hosts.forEach(host -> host.boot(host.number < setup.voters()));
    budget = new ModelBudget(0, 0, 0, 0, 0, 0, 0, 0);
    for (int at = 0; at < setup.prefix().length(); at++) {
      apply(setup.prefix().charAt(at));
    }
    budget = new ModelBudget(setup.budget());
  }

  ModelHost at(final String address) {
    return hosts.stream().filter(host -> host.address.equals(address)).findFirst().orElseThrow();
  }

  /** Runs a schedule to its end or to the first invariant that breaks. */
  ModelWorld run(final String schedule) {
    for (int at = 0; at < schedule.length(); at++) {
      apply(schedule.charAt(at));
    }
    return this;
  }

  /** All that may happen next. */
  String enabled() {
    final StringBuilder steps = new StringBuilder();
    connections.forEach(connection -> addConnectionSteps(steps, connection));
    for (final ModelHost host : hosts) {
      if (host.up()) {
        addRunningSteps(steps, host);
      } else {
        addStoppedSteps(steps, host);
      }
    }
    return steps.toString();
  }

  private void addConnectionSteps(
      final StringBuilder steps, final ModelTransport.Connection connection) {
    final int from = connection.initiator.owner.number;
    final int to = connection.acceptor.owner.number;
    if (!connection.acceptor.inbound.isEmpty()) {
      steps.append(of(ModelStep.DELIVER, from, to, place(connection)));
    }
    if (!connection.initiator.inbound.isEmpty()) {
      steps.append(of(ModelStep.REPLY, to, from, place(connection)));
    }
    if (connection.intact && budget.allows(ModelStep.BREAK)) {
      steps.append(of(ModelStep.BREAK, from, to, place(connection)));
    }
  }

  private void addStoppedSteps(final StringBuilder steps, final ModelHost host) {
    steps.append(of(ModelStep.BOOT, host.number, 0, 0));
    if (budget.allows(ModelStep.WIPE) && monitor.mayLose(host)) {
      steps.append(of(ModelStep.WIPE, host.number, 0, 0));
    }
  }

  private void addRunningSteps(final StringBuilder steps, final ModelHost host) {
    if (!host.diskTasks.isEmpty()) {
      steps.append(of(ModelStep.DISK, host.number, 0, 0));
    }
    bounded(steps, ModelStep.TIMER, host, true);
    bounded(steps, ModelStep.FREEZE, host, true);
    if (budget.allows(ModelStep.CRASH)) {
      final boolean hasUnsynced = !host.diskTasks.isEmpty() || host.disk.hasUnsynced();
      for (int fate = 0; fate < (hasUnsynced ? 4 : 1); fate++) {
        steps.append(of(ModelStep.CRASH, host.number, 0, fate));
      }
    }
    final boolean leads = host.raftNode.isReadyLeader();
    final boolean mayPropose = leads && !host.raftNode.reconfiguration().isTransferring();
    bounded(steps, ModelStep.PROPOSE, host, mayPropose);
    bounded(steps, ModelStep.CONFIRM, host, leads);
    bounded(steps, ModelStep.TRANSFER, host, mayPropose);
    bounded(steps, ModelStep.LEAVE, host, !host.leaving);
  }

  private void bounded(
      final StringBuilder steps, final int kind, final ModelHost host, final boolean possible) {
    if (possible && budget.allows(kind)) {
      steps.append(of(kind, host.number, 0, 0));
    }
  }

  /**
   * Which of several connections between the same two, opened by the same one: an end may not know
   * yet that it is dead.
   */
  private int place(final ModelTransport.Connection connection) {
    int place = 0;
    for (final ModelTransport.Connection other : connections) {
      if (other == connection) {
        return place;
      }
      place +=
          other.initiator.owner == connection.initiator.owner
                  && other.acceptor.owner == connection.acceptor.owner
              ? 1
              : 0;
    }
    throw new IllegalStateException("no such connection");
  }

  private ModelTransport.Connection wire(final int initiator, final int acceptor, final int place) {
    int at = 0;
    for (final ModelTransport.Connection connection : connections) {
      if (connection.initiator.owner.number == initiator
          && connection.acceptor.owner.number == acceptor
          && at++ == place) {
        return connection;
      }
    }
    throw new IllegalArgumentException("no connection " + initiator + " to " + acceptor);
  }

  void apply(final char step) {
    final ModelHost host = hosts.get(ModelStep.member(step));
    budget.spend(ModelStep.kind(step));
    final ModelHost acted = guarded(ModelStep.text(step), () -> turn(step, host));
    connections.removeIf(ModelTransport.Connection::isOver);
    monitor.look(acted);
  }

  /** What the code itself refuses to go on with is a broken invariant as well. */
  private static <T> T guarded(final String what, final Supplier<T> turn) {
    try {
      return turn.get();
    } catch (final IllegalStateException
        | IndexOutOfBoundsException
        | NullPointerException
        | YewjunctionException failure) {
      throw new ModelViolation("the code's own invariant: " + what + ": " + failure);
    }
  }

  /** A schedule written by hand may ask for what cannot happen: no finding. */
  private static void possible(final boolean holds, final char step) {
    if (!holds) {
      throw new IllegalArgumentException("not possible here: " + ModelStep.text(step));
    }
  }

  private static void deliver(final ModelTransport.End end, final char step) {
    possible(!end.inbound.isEmpty(), step);
    end.deliver();
  }

  /** The member whose turn it was. */
  private ModelHost turn(final char step, final ModelHost host) {
    final int kind = ModelStep.kind(step);
    if (kind != ModelStep.DRAIN
        && kind != ModelStep.BREAK
        && kind != ModelStep.DELIVER
        && kind != ModelStep.REPLY) {
      possible(host.up() == (kind != ModelStep.BOOT && kind != ModelStep.WIPE), step);
      possible(kind != ModelStep.DISK || !host.diskTasks.isEmpty(), step);
    }
    ModelHost acted = host;
    switch (kind) {
      case ModelStep.TIMER -> host.timerFires();
      case ModelStep.DISK -> host.diskWorks();
      case ModelStep.DELIVER -> {
        acted = hosts.get(ModelStep.other(step));
        deliver(wire(host.number, acted.number, ModelStep.which(step)).acceptor, step);
      }
      case ModelStep.REPLY -> {
        acted = hosts.get(ModelStep.other(step));
        deliver(wire(acted.number, host.number, ModelStep.which(step)).initiator, step);
      }
      case ModelStep.BREAK ->
          wire(host.number, ModelStep.other(step), ModelStep.which(step)).breakDown();
      case ModelStep.CRASH -> host.stop(ModelStep.which(step));
      case ModelStep.BOOT -> boot(host);
      case ModelStep.WIPE -> {
        host.wipe();
        boot(host);
      }
      case ModelStep.FREEZE -> host.froze();
      case ModelStep.PROPOSE -> propose(host);
      case ModelStep.CONFIRM -> monitor.confirms(host);
      case ModelStep.TRANSFER -> {
        host.raftNode.reconfiguration().transferLeadership(() -> {});
        host.runCommands();
      }
      case ModelStep.LEAVE -> host.leave();
      default -> new ModelRecovery(this).drain();
    }
    return acted;
  }

  private void boot(final ModelHost host) {
    host.boot(false);
    monitor.booted(host);
  }

  void propose(final ModelHost host) {
    final long value = ++proposed;
    final long[] index = new long[1];
    if (host.raftNode.propose(
        ByteBuffer.allocate(8).putLong(value).array(),
        done -> {
          if (done) {
            monitor.acknowledged(index[0], value);
          }
        })) {
      index[0] = host.raftNode.log().lastIndex();
    }
    host.runCommands();
  }

  /**
   * Whatever happened before: once every machine runs and every message arrives, the group serves
   * again.
   */
  void goesOn() {
    plainLuck = new Random(7);
    // Whoever was about to end does, and is started again like all that are down.
    hosts.stream()
        .filter(host -> host.leaving && host.up())
        .forEach(host -> host.stop(ModelDisk.LOST));
    hosts.stream().filter(host -> !host.up()).forEach(this::boot);
    guarded(
        "in plain time",
        () -> {
          new ModelRecovery(this).goesOn();
          return null;
        });
  }
}
