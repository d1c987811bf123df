package yewjunction.control;

import java.util.ArrayList;
import java.util.List;
import yewjunction.common.MessageCodec;

/**
 * The messages between control nodes and the processes that hold leases from them. Fields are
 * encoded by position: one may be added at the end, and none may be moved, removed or given another
 * type.
 */
public final class LeaseMessages {
  private LeaseMessages() {}

  /** Registers all messages under their numbers. */
  public static void register(final MessageCodec codec) {
    codec
        .register(50, LeaseRequest.class)
        .register(51, LeaseResponse.class)
        .register(52, ConfirmLeadershipRequest.class)
        .register(53, ConfirmLeadershipResponse.class)
        .register(54, RegisterRequest.class);
  }

  /** Asks a control node for a lease, says what is known already, and names this process. */
  static final class LeaseRequest {
    /** Stands for the asker's life and the moment it asked, which it keeps for itself. */
    long requestId;

    long version;
    long clusterStateVersion;
    ProcessReport process = new ProcessReport();
  }

  /** Who asks: an edge that needs a replica name, or a store. */
  static final class ProcessReport {
    String address = "";
    String node = "";
    String zone = "";
    String role = "";
    long life;

    /** A store's log identity. */
    String identity = "";

    /** How far a store has applied its log. */
    long appliedIndex;

    /** Its lease counts right now. */
    boolean leaseHeld;

    /** Messages of an edge that wait for a leader's answer, and whether none answers. */
    long waitingPublishes;

    boolean leaderUnreachable;

    /** For how long a store's disk has owed its oldest write. */
    long diskDelayMs;

    /** Of the memory it may use. */
    int memoryPercent;

    /** Nodes that hold no duty any more, told by the store group's leader. */
    List<String> emptiedNodes = new ArrayList<>();

    /** What tenants that borrow ahead hold and owe at a store. */
    List<AccountBalance> balances = new ArrayList<>();

    /** Breaks of the declared order that an edge met since its start. */
    List<OrderViolations> orderViolations = new ArrayList<>();
  }

  /** A lease when held is set, else only news. */
  static final class LeaseResponse {
    boolean granted;

    /** The renewal that it answers. */
    long requestId;

    long version;

    /** The configuration, when newer than what the asker has. */
    String json;

    /** The cluster state, when newer. */
    ClusterState clusterState;

    /** In their place, to an asker that knows what was before: the changes since, in order. */
    List<RecentChanges.VersionPatch> patches = new ArrayList<>();

    List<ClusterState.Change> changes = new ArrayList<>();
  }

  /** A control node asks the leader to confirm its leadership with a majority. */
  static final class ConfirmLeadershipRequest {
    long requestId;
  }

  /**
   * Whether a majority confirmed the leadership after the request came, and what was committed
   * then.
   */
  static final class ConfirmLeadershipResponse {
    long requestId;
    boolean confirmed;
    long commitIndex;
  }

  /** A control node tells the leader of a process that needs a name, or of a store. */
  static final class RegisterRequest {
    ProcessReport process = new ProcessReport();
  }
}
