package yewjunction.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import yewjunction.raft.RaftNode;

/**
 * What the control group has decided besides the configuration: replica ids, the first stores,
 * retirements. Changed by {@link ControlCommand}s only, the same at every node that has applied the
 * same ones. Encoded by position.
 */
public final class ClusterState {
  long version;
  long newestReplicaId;
  List<Replica> replicas = new ArrayList<>();

  /** The first voters of the stores' group; later changes stand in that group's own log. */
  List<String> stores = new ArrayList<>();

  /** Their zones, in the same order. */
  List<String> storeZones = new ArrayList<>();

  List<Retirement> retirements = new ArrayList<>();
  private transient Map<String, Replica> byAddress;

  /** A process that takes part in the subscription set, under an id that no other one gets. */
  static final class Replica {
    long id;
    String address = "";
    long life;
  }

  /** A store machine that is being emptied. */
  static final class Retirement {
    String node = "";
    String address = "";
    boolean finished;
  }

  /** One change, which builds on the state of an earlier version. */
  static final class Change {
    long previousNumber;
    long index;
    ControlCommand command = new ControlCommand();
  }

  /** Index of the entry that changed it last. */
  public long version() {
    return version;
  }

  /**
   * Applies a change; returns false when it changes nothing. The result is the same wherever the
   * same changes are applied.
   */
  boolean apply(final Change change) {
    final boolean changed = apply(change.command);
    if (changed) {
      version = change.index;
      byAddress = null;
    }
    return changed;
  }

  private boolean apply(final ControlCommand command) {
    return switch (command.kind) {
      case ControlCommand.ASSIGN_REPLICA -> assignReplica(command);
      case ControlCommand.RETIRE_REPLICA ->
          replicas.removeIf(replica -> replica.id == command.replicaId);
      case ControlCommand.SET_FIRST_STORES -> setFirstStores(command);
      case ControlCommand.BEGIN_RETIREMENT -> beginRetirement(command);
      case ControlCommand.FINISH_RETIREMENT -> finishRetirement(command);
      default -> throw new IllegalStateException("command " + command.kind);
    };
  }

  private boolean assignReplica(final ControlCommand command) {
    if (replicaId(command.address, command.life) != 0) {
      return false;
    }
    // A new process at an address means that the old one there is gone for good.
    replicas.removeIf(replica -> replica.address.equals(command.address));
    final Replica replica = new Replica();
    replica.id = ++newestReplicaId;
    replica.address = command.address;
    replica.life = command.life;
    replicas.add(replica);
    return true;
  }

  private boolean setFirstStores(final ControlCommand command) {
    if (!stores.isEmpty()) {
      return false;
    }
    stores.addAll(command.identities);
    storeZones.addAll(command.zones);
    return true;
  }

  private boolean beginRetirement(final ControlCommand command) {
    if (retirementOf(command.node) != null) {
      return false;
    }
    final Retirement retirement = new Retirement();
    retirement.node = command.node;
    retirement.address = command.address;
    retirements.add(retirement);
    return true;
  }

  private boolean finishRetirement(final ControlCommand command) {
    final Retirement retirement = retirementOf(command.node);
    if (retirement == null || retirement.finished) {
      return false;
    }
    retirement.finished = true;
    return true;
  }

  /** The largest id given so far; ids are given in rising order. */
  public long newestReplicaId() {
    return newestReplicaId;
  }

  /** Ids that are in use. */
  public Set<Long> liveReplicaIds() {
    final Set<Long> live = new HashSet<>();
    replicas.forEach(replica -> live.add(replica.id));
    return live;
  }

  /** The replica id of one life of a process, 0 when it has none. */
  public long replicaId(final String address, final long life) {
    // Looked up with every lease of every process, hence by an index.
    if (byAddress == null) {
      byAddress = new HashMap<>();
      replicas.forEach(replica -> byAddress.put(replica.address, replica));
    }
    final Replica replica = byAddress.get(address);
    return replica != null && replica.life == life ? replica.id : 0;
  }

  /** Address of the process with that replica id, null when the id is not in use. */
  public String addressOf(final long name) {
    for (final Replica replica : replicas) {
      if (replica.id == name) {
        return replica.address;
      }
    }
    return null;
  }

  /** Identities of the first voters of the stores' group, empty before they are chosen. */
  public List<String> stores() {
    return stores;
  }

  /** Addresses of the first stores inside a zone, or outside of it. */
  public List<String> storeAddresses(final String zone, final boolean inside) {
    final List<String> addresses = new ArrayList<>();
    for (int place = 0; place < stores.size(); place++) {
      final boolean there = place < storeZones.size() && storeZones.get(place).equals(zone);
      if (there == inside) {
        addresses.add(RaftNode.addressOf(stores.get(place)));
      }
    }
    return addresses;
  }

  /** Addresses of stores that are being emptied, or have been. */
  public Set<String> retiringAddresses() {
    final Set<String> addresses = new HashSet<>();
    retirements.forEach(retirement -> addresses.add(retirement.address));
    return addresses;
  }

  /** The node at that address when it is being emptied and not yet finished, else null. */
  public String nodeRetiringAt(final String address) {
    for (final Retirement retirement : retirements) {
      if (retirement.address.equals(address) && !retirement.finished) {
        return retirement.node;
      }
    }
    return null;
  }

  Retirement retirementOf(final String node) {
    for (final Retirement retirement : retirements) {
      if (retirement.node.equals(node)) {
        return retirement;
      }
    }
    return null;
  }
}
