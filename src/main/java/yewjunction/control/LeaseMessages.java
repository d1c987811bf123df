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

  /**
   * Asks a control node for a lease, and says what the process knows already. Response: {@link
   * LeaseResponse}.
   */
  static final class LeaseRequest {
    /** Identifies the request within this life of the process. */
    long requestId;

    long version;
    long clusterStateVersion;
    ProcessReport process = new ProcessReport();
  }

  /** What an edge or store reports of itself. */
  static final class ProcessReport {
    String address = "";
    String node = "";
    String zone = "";
    String role = "";
    long life;

    /** The store's identity in its Raft group. */
    String identity = "";

    /** Up to which index a store has applied its log. */
    long appliedIndex;

    /** Whether its lease counts right now. */
    boolean leaseHeld;

    /** Messages of an edge that wait for a leader's response, and whether none responds. */
    long waitingPublishes;

    boolean leaderUnreachable;

    /** Milliseconds since the oldest unfinished write of a store was begun. */
    long diskDelayMs;

    /** Per cent of the memory it may use. */
    int memoryPercent;

    /** Nodes that hold no vote any more; reported by the leader of the stores. */
    List<String> emptiedNodes = new ArrayList<>();

    /** Accounts of tenants that borrow ahead, as a store holds them. */
    List<AccountBalance> balances = new ArrayList<>();

    /** Violations of a declared order that an edge met since its start. */
    List<OrderViolations> orderViolations = new ArrayList<>();
  }

  /** A lease when granted is set, else only what has changed. */
  static final class LeaseResponse {
    boolean granted;

    /** The request that it answers. */
    long requestId;

    long version;

    /** The whole configuration, when it is newer than the process's and no patches lead there. */
    String json;

    /** The whole cluster state, under the same conditions. */
    ClusterState clusterState;

    /** The changes since the state that the process knows, in order, in place of the whole. */
    List<RecentChanges.VersionPatch> patches = new ArrayList<>();

    List<ClusterState.Change> changes = new ArrayList<>();

    /** For a store: the former retentions that ended after the version that it knows. */
    List<FormerRetention> formerRetentions = new ArrayList<>();
  }

  /**
   * A control node asks the leader to have its leadership confirmed. Response: {@link
   * ConfirmLeadershipResponse}.
   */
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

  /**
   * A control node forwards the report of a store, or of an edge that needs a replica id, to the
   * leader. No response.
   */
  static final class RegisterRequest {
    ProcessReport process = new ProcessReport();
  }
}
