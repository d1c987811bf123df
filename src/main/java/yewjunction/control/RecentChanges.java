package yewjunction.control;

import static yewjunction.limits.LeaseLimits.MAX_RECENT_CHANGES;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The newest changes at a control node. Whoever knows an earlier state is told of the changes
 * alone: the whole grows with the number of nodes and tenants, and every node would hear all of it
 * at every change.
 */
final class RecentChanges {
  private final ArrayDeque<VersionPatch> patches = new ArrayDeque<>();
  private final ArrayDeque<ClusterState.Change> changes = new ArrayDeque<>();

  /**
   * The update that leads from one version to the next, and the digest of the result; encoded by
   * position.
   */
  static final class VersionPatch {
    long baseVersion;
    long version;
    String json = "";
    long digest;
  }

  void add(final ControlCommand command) {
    if (command.patch == null) {
      // No patch leads to this version.
      patches.clear();
      return;
    }
    final VersionPatch patch = new VersionPatch();
    patch.baseVersion = command.baseVersion;
    patch.version = command.version;
    patch.json = command.patch;
    patch.digest = command.patchDigest;
    addBounded(patches, patch);
  }

  void add(final ClusterState.Change change) {
    addBounded(changes, change);
  }

  private static <T> void addBounded(final ArrayDeque<T> kept, final T one) {
    kept.add(one);
    if (kept.size() > MAX_RECENT_CHANGES) {
      kept.poll();
    }
  }

  void clear() {
    patches.clear();
    changes.clear();
  }

  /**
   * The patches from a version on, in order; null when there are not all, or the whole is not much
   * longer.
   */
  List<VersionPatch> patchesFrom(final long version, final int wholeLength) {
    final List<VersionPatch> found = new ArrayList<>();
    int length = 0;
    for (final VersionPatch patch : patches) {
      if (!found.isEmpty() || patch.baseVersion == version) {
        found.add(patch);
        length += patch.json.length();
      }
    }
    return found.isEmpty() || 2 * length > wholeLength ? null : found;
  }

  /** The same for cluster state. */
  List<ClusterState.Change> changesFrom(final long number) {
    final List<ClusterState.Change> found = new ArrayList<>();
    for (final ClusterState.Change change : changes) {
      if (!found.isEmpty() || change.previousNumber == number) {
        found.add(change);
      }
    }
    return found.isEmpty() ? null : found;
  }
}
