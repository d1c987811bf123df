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

/**
 * The state that the control group's log drives, the same at every control node: the configuration,
 * the changes accepted lately, and the {@link ClusterState}. All calls on the agent's thread.
 */
final class ControlStateMachine implements StateMachine {
  private static final Schema<ControlCommand> COMMAND_SCHEMA =
      RuntimeSchema.getSchema(ControlCommand.class);
  private static final Schema<Snapshot> SNAPSHOT_SCHEMA = RuntimeSchema.getSchema(Snapshot.class);
  private Snapshot snapshot = new Snapshot();
  private Configuration currentConfiguration;
  private final RecentChanges recentChanges = new RecentChanges();
  private final Listener listener;

  /** The whole state, as a snapshot holds it; encoded by position. */
  static final class Snapshot {
    String json;
    long version;
    List<AcceptedChange> acceptedChanges = new ArrayList<>();
    ClusterState clusterState = new ClusterState();
    List<FormerRetention> formerRetentions = new ArrayList<>();
  }

  /** A change that was accepted, so that its exact repeat is known; encoded by position. */
  static final class AcceptedChange {
    long version;
    String digest = "";
  }

  /** Is notified of what the applied commands changed. */
  interface Listener {
    void onConfigurationChanged();

    void onClusterStateChanged();

    void onCommitted(long commit);

    void onLeaderChange(String identity, boolean self);
  }

  ControlStateMachine(final Listener listener) {
    this.listener = listener;
  }

  static byte[] encode(final ControlCommand command) {
    return ProtostuffIOUtil.toByteArray(command, COMMAND_SCHEMA, LinkedBuffer.allocate(512));
  }

  long version() {
    return snapshot.version;
  }

  /** The configuration as text, null before the first. */
  String json() {
    return snapshot.json;
  }

  /**
   * The configuration, parsed when it is first needed: a start after a loss of power must not wait
   * for that.
   */
  Configuration currentConfiguration() {
    if (currentConfiguration == null && snapshot.json != null) {
      currentConfiguration = Configuration.read(snapshot.json);
    }
    return currentConfiguration;
  }

  /** The configuration if it has been parsed already, else null. */
  Configuration parsedConfiguration() {
    return currentConfiguration;
  }

  /** Takes over a configuration that was parsed already, if it is the newest version. */
  void cacheParsed(final Configuration made) {
    if (made.version() == snapshot.version) {
      currentConfiguration = made;
    }
  }

  /** The newest changes, for processes that know the state before them. */
  RecentChanges recentChanges() {
    return recentChanges;
  }

  ClusterState clusterState() {
    return snapshot.clusterState;
  }

  /** Retentions that earlier versions had and that still bind the stores. */
  List<FormerRetention> formerRetentions() {
    return snapshot.formerRetentions;
  }

  boolean wasAccepted(final long version, final String digest) {
    return snapshot.acceptedChanges.stream()
        .anyMatch(one -> one.version == version && one.digest.equals(digest));
  }

  /** Whether a version is older than all that are remembered, so that it may have been accepted. */
  boolean mayHaveForgotten(final long version) {
    return snapshot.acceptedChanges.size() >= REMEMBERED_VERSIONS
        && version < snapshot.acceptedChanges.get(0).version;
  }

  @Override
  public void apply(final long index, final byte[] data) {
    final ControlCommand command = COMMAND_SCHEMA.newMessage();
    ProtostuffIOUtil.mergeFrom(data, command, COMMAND_SCHEMA);
    if (command.kind == ControlCommand.SET_CONFIGURATION) {
      applyConfiguration(command);
    } else {
      final ClusterState.Change change = new ClusterState.Change();
      change.previousNumber = snapshot.clusterState.version;
      change.index = index;
      change.command = command;
      if (snapshot.clusterState.apply(change)) {
        logChange(command);
        recentChanges.add(change);
        listener.onClusterStateChanged();
      }
    }
  }

  private void applyConfiguration(final ControlCommand command) {
    // Invariant: versions only rise, each on top of the one it names. The text was checked before
    // it was proposed.
    if (command.baseVersion != snapshot.version || command.version <= snapshot.version) {
      throw new IllegalStateException(
          "version "
              + command.version
              + " on "
              + command.baseVersion
              + " after "
              + snapshot.version);
    }
    currentConfiguration = null;
    recentChanges.add(command);
    snapshot.json = command.json;
    snapshot.version = command.version;
    snapshot.formerRetentions = command.formerRetentions;
    final AcceptedChange taken = new AcceptedChange();
    taken.version = command.version;
    taken.digest = command.digest;
    snapshot.acceptedChanges.add(taken);
    if (snapshot.acceptedChanges.size() > REMEMBERED_VERSIONS) {
      snapshot.acceptedChanges.remove(0);
    }
    LogEvent.CONFIGURATION_ACCEPTED.info("version " + command.version);
    listener.onConfigurationChanged();
  }

  private void logChange(final ControlCommand command) {
    switch (command.kind) {
      case ControlCommand.ASSIGN_REPLICA ->
          LogEvent.REPLICA_ID_ASSIGNED.info(
              snapshot.clusterState.newestReplicaId + " to " + command.node);
      case ControlCommand.RETIRE_REPLICA ->
          LogEvent.REPLICA_ID_RETIRED.info(String.valueOf(command.replicaId));
      case ControlCommand.SET_FIRST_STORES ->
          LogEvent.FIRST_STORES_CHOSEN.info(String.valueOf(command.identities));
      case ControlCommand.BEGIN_RETIREMENT -> LogEvent.NODE_RETIRING.info(command.node);
      default -> LogEvent.NODE_RETIRED.info(command.node);
    }
  }

  @Override
  public byte[] snapshot() {
    return ProtostuffIOUtil.toByteArray(snapshot, SNAPSHOT_SCHEMA, LinkedBuffer.allocate(4096));
  }

  @Override
  public void restore(final long index, final byte[] state) {
    final Snapshot restored = SNAPSHOT_SCHEMA.newMessage();
    ProtostuffIOUtil.mergeFrom(state, restored, SNAPSHOT_SCHEMA);
    snapshot = restored;
    if (snapshot.clusterState == null) {
      snapshot.clusterState = new ClusterState();
    }
    currentConfiguration = null;
    recentChanges.clear();
    listener.onConfigurationChanged();
    listener.onClusterStateChanged();
  }

  @Override
  public void onLeaderChange(final String identity, final boolean self) {
    listener.onLeaderChange(identity, self);
  }

  @Override
  public void onCommitted(final long commit) {
    listener.onCommitted(commit);
  }
}
