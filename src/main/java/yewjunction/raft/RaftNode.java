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

/** One member of a replicated log. All calls on the owner's thread. */
public final class RaftNode {
  /** What a member is in its current term. */
  enum Role {
    FOLLOWER,
    CANDIDATE,
    LEADER
  }

  final int group;
  final AgentContext context;
  final PeerTransport transport;
  final RaftStorage storage;
  final RaftLog log;
  private final StateMachine stateMachine;
  final LeaderState leaderState;
  final FollowerState followerState;
  private final Election election;
  final CommitTracker commitTracker;
  final ConnectionHandshakes handshakes;
  final ZoneRelay relay;
  final GroupMembership groupMembership;
  private Role role = Role.FOLLOWER;
  private String leaderIdentity;
  private PeerConnection leaderConnection;
  private long leaderContactMs;
  private boolean stopped;

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
    log = storage.log;
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
            + storage.identity
            + " term "
            + storage.term
            + " last "
            + log.lastIndex()
            + " voters "
            + voters());
  }

  /** Names a member whose disk was empty. */
  public void assignIdentity(final String identity) {
    storage.saveIdentity(identity, () -> {});
  }

  /** The first voters; has no effect on a log that has some. */
  public void bootstrap(final List<String> firstVoters) {
    if (voters().isEmpty() && log.lastIndex() == 0) {
      log.reset(0, 0, firstVoters);
      storage.rewrite(0, stateMachine.snapshot(), () -> {});
      resetElectionTimeout();
    }
  }

  public void start() {
    election.start();
  }

  public void stop() {
    stopped = true;
  }

  public String identity() {
    return storage.identity;
  }

  /**
   * A short name for an identity, from what was drawn at the start: it travels in every message.
   */
  public static String identitySuffix(final long drawn) {
    final String whole = Long.toString(drawn >>> 1, Character.MAX_RADIX);
    return whole.substring(Math.max(0, whole.length() - 7));
  }

  public static String addressOf(final String identity) {
    return identity.substring(0, identity.indexOf('#'));
  }

  public List<String> voters() {
    return log.votersAt(log.lastIndex());
  }

  public String leader() {
    return leaderIdentity;
  }

  public long commitIndex() {
    return commitTracker.commitIndex();
  }

  public long appliedIndex() {
    return commitTracker.appliedIndex();
  }

  /** True when this member leads and has applied all that was committed before its term. */
  public boolean isReadyLeader() {
    return role == Role.LEADER
        && commitTracker.appliedIndex() >= leaderState.firstIndexOfTerm()
        && !stopped;
  }

  boolean isStopped() {
    return stopped;
  }

  boolean isLeader() {
    return role == Role.LEADER && !stopped;
  }

  /**
   * Appends at the leader; done tells once it is applied here, or false when the leadership ended
   * first.
   */
  public boolean propose(final byte[] data, final Consumer<Boolean> done) {
    if (!isReadyLeader() || leaderState.reconfiguration.isTransferring()) {
      return false;
    }
    final long index = leaderState.append(LogEntry.DATA, data);
    commitTracker.onceApplied(index, storage.term, done);
    return true;
  }

  /** Asks a majority whether this member still leads; true comes only after that. */
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
    return leaderState.reconfiguration;
  }

  /** This member's own side of its membership. */
  public GroupMembership groupMembership() {
    return groupMembership;
  }

  /** Takes the group's messages from the post. */
  public void registerHandlers() {
    new MessageRouter(this, followerState, leaderState, election).registerHandlers();
  }

  <T extends RaftMessages.RaftMessage> T withHeader(final T letter, final String to) {
    letter.group = group;
    letter.from = storage.identity;
    letter.to = to == null ? 0 : RaftMessages.identityHash(to);
    letter.term = storage.term;
    return letter;
  }

  void sendTo(final String identity, final RaftMessages.RaftMessage message) {
    handshakes.send(transport.connect(addressOf(identity)), withHeader(message, identity));
  }

  void resetElectionTimeout() {
    election.resetTimeout();
  }

  /** Heard of no leader for a while: none is in reach, or this member is no longer told. */
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
    leaderIdentity = storage.identity;
    leaderState.start();
  }

  /** A later term was seen: whatever this member was, it follows now. */
  void observeTerm(final long newTerm) {
    if (newTerm > storage.term) {
      storage.saveVote(newTerm, "", () -> {});
      becomeFollower(null);
    }
  }

  void becomeFollower(final String newLeader) {
    final boolean led = role == Role.LEADER;
    role = Role.FOLLOWER;
    if (led) {
      // Whoever is told no here must not find a leader any more: it would propose in a term that is
      // another's.
      LogEvent.LEADERSHIP_LOST.info("group " + group + " term " + storage.term);
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
    stateMachine.onLeaderChange(storage.identity, true);
  }
}
