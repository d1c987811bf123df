package yewjunction.raft;

import static yewjunction.limits.RaftLimits.LEADER_SEARCH_AFTER_MS;
import static yewjunction.limits.RaftLimits.MAX_ELECTION_TIMEOUT_MS;
import static yewjunction.limits.RaftLimits.MIN_ELECTION_TIMEOUT_MS;

import java.util.List;
import java.util.function.Consumer;
import yewjunction.common.AgentContext;
import yewjunction.common.LogEvent;
import yewjunction.common.PeerConnection;
import yewjunction.common.PeerTransport;

/**
 * One member of a Raft group: a replicated log and the state machine that it drives. The protocol
 * is that of "In Search of an Understandable Consensus Algorithm" (Ongaro and Ousterhout, 2014) and
 * of Ongaro's dissertation, with pre-vote, leadership transfer, changes of one voter at a time, and
 * snapshots in chunks.
 *
 * <p>Message types: see {@link RaftMessages}. State changes: {@link #observeTerm}, {@link
 * #becomeFollower}, {@link #becomeCandidate} and {@link #becomeLeader}, and nowhere else.
 *
 * <p>Invariants, checked where they could break:
 *
 * <ul>
 *   <li>A term never falls, and a vote once given in a term stays ({@link RaftStorage#saveVote}).
 *   <li>There is one leader a term ({@link FollowerState}).
 *   <li>What is committed is never truncated ({@link CommitTracker#truncateFrom}).
 *   <li>A response that promises something is sent only after the disk has synced it.
 * </ul>
 *
 * <p>Beyond the paper: members without a vote fetch committed entries from a voter of their zone
 * ({@link ZoneRelay}), and a leader decides who votes by {@link VoterPlacement}.
 *
 * <p>Threads: all calls on the agent's thread. Disk work runs on a {@link TaskExecutor} and returns
 * to that thread.
 */
public final class RaftNode {
  /** What a member is in its current term. */
  enum Role {
    FOLLOWER,
    CANDIDATE,
    LEADER
  }

  private final int group;
  private final AgentContext context;
  private final PeerTransport transport;
  private final RaftStorage storage;
  private final RaftLog log;
  private final StateMachine stateMachine;
  private final LeaderState leaderState;
  private final FollowerState followerState;
  private final Election election;
  private final CommitTracker commitTracker;
  private final ConnectionHandshakes handshakes;
  private final ZoneRelay relay;
  private final GroupMembership groupMembership;
  private Role role = Role.FOLLOWER;
  private String leaderIdentity;
  private PeerConnection leaderConnection;
  private long leaderContactMs;
  private boolean stopped;

  /**
   * Opens the log and restores the state machine from it; nothing is sent before {@link #start}.
   *
   * @throws StorageException when the file is damaged or cannot be read
   */
  public RaftNode(
      final int group,
      final AgentContext context,
      final PeerTransport transport,
      final Disk disk,
      final TaskExecutor executor,
      final String name,
      final StateMachine stateMachine) {
    this.group = group;
    this.context = context;
    this.transport = transport;
    this.stateMachine = stateMachine;
    storage = new RaftStorage(new AppendOnlyFile(disk, executor, name));
    log = storage.log();
    handshakes = new ConnectionHandshakes(this);
    relay = new ZoneRelay(this);
    groupMembership = new GroupMembership(this);
    leaderState = new LeaderState(this);
    followerState = new FollowerState(this);
    election = new Election(this);
    commitTracker = new CommitTracker(this, stateMachine);
    leaderContactMs = -MAX_ELECTION_TIMEOUT_MS;
    LogEvent.LOG_OPENED.info(
        "group "
            + group
            + " identity "
            + storage.identity()
            + " term "
            + storage.term()
            + " last "
            + log.lastIndex()
            + " voters "
            + voters());
  }

  /** Sets the identity of a member whose disk was empty. */
  public void assignIdentity(final String identity) {
    storage.saveIdentity(identity, () -> {});
  }

  /** Sets the first voters of a new group; has no effect on a log that has some. */
  public void bootstrap(final List<String> firstVoters) {
    if (voters().isEmpty() && log.lastIndex() == 0) {
      log.reset(0, 0, firstVoters);
      storage.rewrite(0, stateMachine.snapshot(), () -> {});
      resetElectionTimeout();
    }
  }

  /** Begins to take part in elections. */
  public void start() {
    election.start();
  }

  /** From now on this member answers nothing and starts no election. */
  public void stop() {
    stopped = true;
  }

  /**
   * Address, {@code #} and a name drawn when the disk was empty; null before {@link
   * #assignIdentity}.
   */
  public String identity() {
    return storage.identity();
  }

  /**
   * A short name for an identity, from what was drawn at the start: it travels in every message.
   */
  public static String identitySuffix(final long drawn) {
    final String whole = Long.toString(drawn >>> 1, Character.MAX_RADIX);
    return whole.substring(Math.max(0, whole.length() - 7));
  }

  /** The address in an identity. */
  public static String addressOf(final String identity) {
    return identity.substring(0, identity.indexOf('#'));
  }

  /** Identities of the voters by the newest entry of the log, committed or not. */
  public List<String> voters() {
    return log.votersAt(log.lastIndex());
  }

  /** Identity of the leader, null while none is known. */
  public String leader() {
    return leaderIdentity;
  }

  /** Index of the newest entry known to be committed. */
  public long commitIndex() {
    return commitTracker.commitIndex();
  }

  /** Index of the newest entry that the state machine has applied. */
  public long appliedIndex() {
    return commitTracker.appliedIndex();
  }

  /**
   * Whether this member leads and has applied all that was committed before its term, so that its
   * state machine is current.
   */
  public boolean isReadyLeader() {
    return role == Role.LEADER
        && commitTracker.appliedIndex() >= leaderState.firstIndexOfTerm()
        && !stopped;
  }

  /** The number of the group; every message and file contains it. */
  int group() {
    return group;
  }

  /** Clock, timers and random numbers. */
  AgentContext context() {
    return context;
  }

  /** Connections to the other members. */
  PeerTransport transport() {
    return transport;
  }

  /** Term, vote and log on disk. */
  RaftStorage storage() {
    return storage;
  }

  /** The entries behind the newest snapshot. */
  RaftLog log() {
    return log;
  }

  /** What this member does while it leads. */
  LeaderState leaderState() {
    return leaderState;
  }

  /** What this member does for candidates and leaders. */
  FollowerState followerState() {
    return followerState;
  }

  /** The senders and receivers of connections. */
  ConnectionHandshakes handshakes() {
    return handshakes;
  }

  /** Fetching of committed entries inside a zone. */
  ZoneRelay relay() {
    return relay;
  }

  /** The newest term this member has seen. */
  long currentTerm() {
    return storage.term();
  }

  boolean isStopped() {
    return stopped;
  }

  boolean isLeader() {
    return role == Role.LEADER && !stopped;
  }

  /**
   * Proposes an entry. The callback gets true once it is applied here, or false when the leadership
   * ended first: it may still be committed then. Returns false, without a callback, when this
   * member may not propose now.
   */
  public boolean propose(final byte[] data, final Consumer<Boolean> done) {
    if (!isReadyLeader() || leaderState.reconfiguration().isTransferring()) {
      return false;
    }
    final long index = leaderState.append(LogEntry.DATA, data);
    commitTracker.onceApplied(index, storage.term(), done);
    return true;
  }

  /**
   * Has a majority confirm that this member still leads: the callback gets true only after that,
   * else false.
   */
  public void confirmLeadership(final Consumer<Boolean> done) {
    if (isReadyLeader()) {
      leaderState.confirmLeadership(done);
    } else {
      done.accept(false);
    }
  }

  /** How far entries are synced, committed and applied here. */
  public CommitTracker commitTracker() {
    return commitTracker;
  }

  /** Who votes, decided by the leader. */
  public VoterReconfiguration reconfiguration() {
    return leaderState.reconfiguration();
  }

  /** This member's own side of its membership. */
  public GroupMembership groupMembership() {
    return groupMembership;
  }

  /** Takes the group's messages from the transport from now on. */
  public void registerHandlers() {
    new MessageRouter(this, followerState, leaderState, election).registerHandlers();
  }

  <T extends RaftMessages.RaftMessage> T withHeader(final T message, final String to) {
    message.group = group;
    message.from = storage.identity();
    message.to = to == null ? 0 : RaftMessages.identityHash(to);
    message.term = storage.term();
    return message;
  }

  void sendTo(final String identity, final RaftMessages.RaftMessage message) {
    handshakes.send(transport.connect(addressOf(identity)), withHeader(message, identity));
  }

  void resetElectionTimeout() {
    election.resetTimeout();
  }

  /** Whether no leader has been heard of for LEADER_SEARCH_AFTER_MS. */
  public boolean hasNoLeader() {
    return leaderIdentity == null && context.nowMs() - leaderContactMs > LEADER_SEARCH_AFTER_MS;
  }

  boolean hasRecentLeader() {
    return role == Role.LEADER
        || leaderIdentity != null && context.nowMs() - leaderContactMs < MIN_ELECTION_TIMEOUT_MS;
  }

  void onLeaderContact(final PeerConnection connection) {
    leaderConnection = connection;
  }

  void onClose(final PeerConnection connection) {
    handshakes.onClose(connection);
    relay.onClose(connection);
    if (connection == leaderConnection && role == Role.FOLLOWER && !stopped) {
      leaderConnection = null;
      leaderContactMs = context.nowMs() - MIN_ELECTION_TIMEOUT_MS;
      election.onLeaderDisconnected();
    }
  }

  void becomeCandidate() {
    role = Role.CANDIDATE;
  }

  void becomeLeader() {
    role = Role.LEADER;
    leaderIdentity = storage.identity();
    leaderState.start();
  }

  /** A term was seen in a message; a newer one makes this member a follower. */
  void observeTerm(final long newTerm) {
    if (newTerm > storage.term()) {
      storage.saveVote(newTerm, "", () -> {});
      becomeFollower(null);
    }
  }

  void becomeFollower(final String newLeader) {
    final boolean led = role == Role.LEADER;
    role = Role.FOLLOWER;
    if (led) {
      // The role changes first: callbacks that run then must not find a leader here and propose
      // in another's term.
      LogEvent.LEADERSHIP_LOST.info("group " + group + " term " + storage.term());
      leaderState.stop();
    }
    election.end();
    if (newLeader == null && leaderIdentity != null) {
      leaderIdentity = null;
      commitTracker.failProposals();
      stateMachine.onLeaderChange(null, false);
    } else if (newLeader != null) {
      leaderContactMs = context.nowMs();
      resetElectionTimeout();
      if (!newLeader.equals(leaderIdentity)) {
        leaderIdentity = newLeader;
        commitTracker.failProposals();
        stateMachine.onLeaderChange(newLeader, false);
        groupMembership.onLeaderChanged();
      }
    }
  }

  void announceLeadership() {
    stateMachine.onLeaderChange(storage.identity(), true);
  }
}
