package yewjunction.control;

import static yewjunction.limits.OperatorLimits.REMEMBERED_VERSIONS;

import io.protostuff.LinkedBuffer;
import io.protostuff.ProtostuffIOUtil;
import io.protostuff.Schema;
import io.protostuff.runtime.RuntimeSchema;
import java.util.ArrayList;
import java.util.List;
import yewjunction.common.LogEvent;
import yewjunction.raft.StateMachine;

/** The state that the core's ledger drives; the same on every crux. */
final class ControlStateMachine implements StateMachine {
  private static final Schema<ControlCommand> DEEDS = RuntimeSchema.getSchema(ControlCommand.class);
  private static final Schema<Snapshot> IMAGES = RuntimeSchema.getSchema(Snapshot.class);
  private Snapshot snapshot = new Snapshot();
  private Configuration current;
  private final RecentChanges recentChanges = new RecentChanges();
  private final Listener watcher;

  /** All of the state, as a snapshot holds it. */
  static final class Snapshot {
    String json;
    long version;
    List<AcceptedChange> taken = new ArrayList<>();
    ClusterState clusterState = new ClusterState();
  }

  /** A request that was taken, so that its exact repeat is known. */
  static final class AcceptedChange {
    long version;
    String digest = "";
  }

  /** Told what changed here. */
  interface Listener {
    void configChanged();

    void factsChanged();

    void settledTo(long commit);

    void leaderIs(String identity, boolean self);
  }

  ControlStateMachine(final Listener watcher) {
    this.watcher = watcher;
  }

  static byte[] bytes(final ControlCommand command) {
    return ProtostuffIOUtil.toByteArray(command, DEEDS, LinkedBuffer.allocate(512));
  }

  long version() {
    return snapshot.version;
  }

  /** The configuration as text, null before the first. */
  String json() {
    return snapshot.json;
  }

  /**
   * Read only when a change builds on it: after a loss of power every moment of a crux's start is
   * service lost.
   */
  Configuration current() {
    if (current == null && snapshot.json != null) {
      current = Configuration.read(snapshot.json);
    }
    return current;
  }

  /** The configuration where it was read already, else null. */
  Configuration parsed() {
    return current;
  }

  /** Whoever made the newest version has it read already. */
  void adopt(final Configuration made) {
    if (made.version() == snapshot.version) {
      current = made;
    }
  }

  /** What changed lately, for those that know what was before. */
  RecentChanges news() {
    return recentChanges;
  }

  ClusterState facts() {
    return snapshot.clusterState;
  }

  boolean taken(final long version, final String digest) {
    return snapshot.taken.stream()
        .anyMatch(one -> one.version == version && one.digest.equals(digest));
  }

  /**
   * So many versions ago that a change with this number may have been taken and is no longer
   * remembered.
   */
  boolean forgot(final long version) {
    return snapshot.taken.size() >= REMEMBERED_VERSIONS && version < snapshot.taken.get(0).version;
  }

  @Override
  public void apply(final long index, final byte[] data) {
    final ControlCommand command = DEEDS.newMessage();
    ProtostuffIOUtil.mergeFrom(data, command, DEEDS);
    if (command.kind == ControlCommand.CONFIG) {
      config(command);
    } else {
      final ClusterState.Change change = new ClusterState.Change();
      change.before = snapshot.clusterState.number;
      change.index = index;
      change.command = command;
      if (snapshot.clusterState.apply(change)) {
        told(command);
        recentChanges.changed(change);
        watcher.factsChanged();
      }
    }
  }

  private void config(final ControlCommand command) {
    // Invariant: versions only rise, each on top of the one it names. The text was checked before
    // it came here.
    if (command.base != snapshot.version || command.version <= snapshot.version) {
      throw new IllegalStateException(
          "version " + command.version + " on " + command.base + " after " + snapshot.version);
    }
    current = null;
    recentChanges.changed(command);
    snapshot.json = command.json;
    snapshot.version = command.version;
    final AcceptedChange taken = new AcceptedChange();
    taken.version = command.version;
    taken.digest = command.digest;
    snapshot.taken.add(taken);
    if (snapshot.taken.size() > REMEMBERED_VERSIONS) {
      snapshot.taken.remove(0);
    }
    LogEvent.CONFIG_TAKEN.info("version " + command.version);
    watcher.configChanged();
  }

  private void told(final ControlCommand command) {
    switch (command.kind) {
      case ControlCommand.REPLICA ->
          LogEvent.REPLICA_GIVEN.info(snapshot.clusterState.newestReplica + " to " + command.node);
      case ControlCommand.REPLICA_GONE ->
          LogEvent.REPLICA_RETIRED.info(String.valueOf(command.name));
      case ControlCommand.VAULTS -> LogEvent.VAULTS_CHOSEN.info(String.valueOf(command.identities));
      case ControlCommand.RETIRE -> LogEvent.MACHINE_RETIRING.info(command.node);
      default -> LogEvent.MACHINE_RETIRED.info(command.node);
    }
  }

  @Override
  public byte[] snapshot() {
    return ProtostuffIOUtil.toByteArray(snapshot, IMAGES, LinkedBuffer.allocate(4096));
  }

  @Override
  public void restore(final long index, final byte[] state) {
    final Snapshot restored = IMAGES.newMessage();
    ProtostuffIOUtil.mergeFrom(state, restored, IMAGES);
    snapshot = restored;
    if (snapshot.clusterState == null) {
      snapshot.clusterState = new ClusterState();
    }
    current = null;
    recentChanges.forget();
    watcher.configChanged();
    watcher.factsChanged();
  }

  @Override
  public void onLeaderChange(final String identity, final boolean self) {
    watcher.leaderIs(identity, self);
  }

  @Override
  public void onCommitted(final long commit) {
    watcher.settledTo(commit);
  }
}
