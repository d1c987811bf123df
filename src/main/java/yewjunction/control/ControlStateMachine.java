package yewjunction.control;

import static yewjunction.common.Limits.TAKEN_VERSIONS;

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
  private Snapshot image = new Snapshot();
  private Configuration current;
  private final RecentChanges news = new RecentChanges();
  private final Listener watcher;

  /** All of the state, as a snapshot holds it. */
  static final class Snapshot {
    String json;
    long version;
    List<AcceptedChange> taken = new ArrayList<>();
    ClusterState facts = new ClusterState();
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

  static byte[] bytes(final ControlCommand deed) {
    return ProtostuffIOUtil.toByteArray(deed, DEEDS, LinkedBuffer.allocate(512));
  }

  long version() {
    return image.version;
  }

  /** The configuration as text, null before the first. */
  String json() {
    return image.json;
  }

  /**
   * Read only when a change builds on it: after a loss of power every moment of a crux's start is
   * service lost.
   */
  Configuration current() {
    if (current == null && image.json != null) {
      current = Configuration.read(image.json);
    }
    return current;
  }

  /** The configuration where it was read already, else null. */
  Configuration parsed() {
    return current;
  }

  /** Whoever made the newest version has it read already. */
  void adopt(final Configuration made) {
    if (made.version() == image.version) {
      current = made;
    }
  }

  /** What changed lately, for those that know what was before. */
  RecentChanges news() {
    return news;
  }

  ClusterState facts() {
    return image.facts;
  }

  boolean taken(final long version, final String digest) {
    return image.taken.stream()
        .anyMatch(one -> one.version == version && one.digest.equals(digest));
  }

  /**
   * So many versions ago that a change with this number may have been taken and is no longer
   * remembered.
   */
  boolean forgot(final long version) {
    return image.taken.size() >= TAKEN_VERSIONS && version < image.taken.get(0).version;
  }

  @Override
  public void apply(final long index, final byte[] data) {
    final ControlCommand deed = DEEDS.newMessage();
    ProtostuffIOUtil.mergeFrom(data, deed, DEEDS);
    if (deed.kind == ControlCommand.CONFIG) {
      config(deed);
    } else {
      final ClusterState.Change change = new ClusterState.Change();
      change.before = image.facts.number;
      change.index = index;
      change.deed = deed;
      if (image.facts.apply(change)) {
        told(deed);
        news.changed(change);
        watcher.factsChanged();
      }
    }
  }

  private void config(final ControlCommand deed) {
    // Invariant: versions only rise, each on top of the one it names. The text was checked before
    // it came here.
    if (deed.base != image.version || deed.version <= image.version) {
      throw new IllegalStateException(
          "version " + deed.version + " on " + deed.base + " after " + image.version);
    }
    current = null;
    news.changed(deed);
    image.json = deed.json;
    image.version = deed.version;
    final AcceptedChange taken = new AcceptedChange();
    taken.version = deed.version;
    taken.digest = deed.digest;
    image.taken.add(taken);
    if (image.taken.size() > TAKEN_VERSIONS) {
      image.taken.remove(0);
    }
    LogEvent.CONFIG_TAKEN.info("version " + deed.version);
    watcher.configChanged();
  }

  private void told(final ControlCommand deed) {
    switch (deed.kind) {
      case ControlCommand.REPLICA ->
          LogEvent.REPLICA_GIVEN.info(image.facts.newestReplica + " to " + deed.node);
      case ControlCommand.REPLICA_GONE -> LogEvent.REPLICA_RETIRED.info(String.valueOf(deed.name));
      case ControlCommand.VAULTS -> LogEvent.VAULTS_CHOSEN.info(String.valueOf(deed.identities));
      case ControlCommand.RETIRE -> LogEvent.MACHINE_RETIRING.info(deed.node);
      default -> LogEvent.MACHINE_RETIRED.info(deed.node);
    }
  }

  @Override
  public byte[] snapshot() {
    return ProtostuffIOUtil.toByteArray(image, IMAGES, LinkedBuffer.allocate(4096));
  }

  @Override
  public void restore(final long index, final byte[] state) {
    final Snapshot restored = IMAGES.newMessage();
    ProtostuffIOUtil.mergeFrom(state, restored, IMAGES);
    image = restored;
    if (image.facts == null) {
      image.facts = new ClusterState();
    }
    current = null;
    news.forget();
    watcher.configChanged();
    watcher.factsChanged();
  }

  @Override
  public void leader(final String identity, final boolean self) {
    watcher.leaderIs(identity, self);
  }

  @Override
  public void settled(final long commit) {
    watcher.settledTo(commit);
  }
}
