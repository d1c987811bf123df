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
    FOLLOWS,
    STANDS,
    LEADS
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
  private Role role = Role.FOLLOWS;
  private String leaderIdentity;
  private PeerConnection leaderConnection;
  private long heardMs;
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
    heardMs = -MAX_ELECTION_TIMEOUT_MS;
    LogEvent.LEDGER_OPENED.info(
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
  public void name(final String identity) {
    storage.saveIdentity(identity, () -> {});
  }

  /** The first voters; has no effect on a log that has some. */
  public void found(final List<String> firstVoters) {
    if (voters().isEmpty() && log.lastIndex() == 0) {
      log.reset(0, 0, firstVoters);
      storage.rewrite(0, stateMachine.snapshot(), () -> {});
      restartClock();
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

  /** A short name for an identity, from what was drawn at the start: it travels in every letter. */
  public static String drawnName(final long drawn) {
    final String whole = Long.toString(drawn >>> 1, Character.MAX_RADIX);
    return whole.substring(Math.max(0, whole.length() - 7));
  }

  public static String address(final String identity) {
    return identity.substring(0, identity.indexOf('#'));
  }

  public List<String> voters() {
    return log.votersAt(log.lastIndex());
  }

  public String leader() {
    return leaderIdentity;
  }

  public long commit() {
    return commitTracker.commit();
  }

  public long applied() {
    return commitTracker.applied();
  }

  /** True when this member leads and has applied all that was committed before its term. */
  public boolean leads() {
    return role == Role.LEADS && commitTracker.applied() >= leaderState.firstIndex() && !stopped;
  }

  boolean stopped() {
    return stopped;
  }

  boolean leadsTerm() {
    return role == Role.LEADS && !stopped;
  }

  /**
   * Appends at the leader; done tells once it is applied here, or false when the leadership ended
   * first.
   */
  public boolean propose(final byte[] data, final Consumer<Boolean> done) {
    if (!leads() || leaderState.reconfiguration.handing()) {
      return false;
    }
    final long index = leaderState.append(LogEntry.DATA, data);
    commitTracker.await(index, storage.term, done);
    return true;
  }

  /** Asks a majority whether this member still leads; true comes only after that. */
  public void confirm(final Consumer<Boolean> done) {
    if (leads()) {
      leaderState.confirm(done);
    } else {
      done.accept(false);
    }
  }

  /** How far entries are synced, committed and applied here. */
  public CommitTracker course() {
    return commitTracker;
  }

  /** Who votes, decided by the leader. */
  public VoterReconfiguration electorate() {
    return leaderState.reconfiguration;
  }

  /** This member's own side of its membership. */
  public GroupMembership membership() {
    return groupMembership;
  }

  /** Takes the group's letters from the post. */
  public void listen() {
    new MessageRouter(this, followerState, leaderState, election).listen();
  }

  <T extends RaftMessages.RaftMessage> T addressed(final T letter, final String to) {
    letter.group = group;
    letter.from = storage.identity;
    letter.to = to == null ? 0 : RaftMessages.shortened(to);
    letter.term = storage.term;
    return letter;
  }

  void sendTo(final String identity, final RaftMessages.RaftMessage message) {
    handshakes.send(transport.dial(address(identity)), addressed(message, identity));
  }

  void restartClock() {
    election.restartClock();
  }

  /** Heard of no leader for a while: none is in reach, or this member is no longer told. */
  public boolean leaderless() {
    return leaderIdentity == null && context.nowMs() - heardMs > LEADER_SEARCH_AFTER_MS;
  }

  boolean heardLately() {
    return role == Role.LEADS
        || leaderIdentity != null && context.nowMs() - heardMs < MIN_ELECTION_TIMEOUT_MS;
  }

  void heardOn(final PeerConnection connection) {
    leaderConnection = connection;
  }

  void closed(final PeerConnection connection) {
    handshakes.closed(connection);
    relay.closed(connection);
    if (connection == leaderConnection && role == Role.FOLLOWS && !stopped) {
      leaderConnection = null;
      heardMs = context.nowMs() - MIN_ELECTION_TIMEOUT_MS;
      election.leaderLinkBroke();
    }
  }

  void stands() {
    role = Role.STANDS;
  }

  void lead() {
    role = Role.LEADS;
    leaderIdentity = storage.identity;
    leaderState.begin();
  }

  /** A later term was seen: whatever this member was, it follows now. */
  void seen(final long newTerm) {
    if (newTerm > storage.term) {
      storage.saveVote(newTerm, "", () -> {});
      follow(null);
    }
  }

  void follow(final String newLeader) {
    final boolean led = role == Role.LEADS;
    role = Role.FOLLOWS;
    if (led) {
      // Whoever is told no here must not find a leader any more: it would propose in a term that is
      // another's.
      LogEvent.LEADER_LOST.info("group " + group + " term " + storage.term);
      leaderState.end();
    }
    election.over();
    if (newLeader == null && leaderIdentity != null) {
      leaderIdentity = null;
      commitTracker.dropProposals();
      stateMachine.leader(null, false);
    } else if (newLeader != null) {
      heardMs = context.nowMs();
      restartClock();
      if (!newLeader.equals(leaderIdentity)) {
        leaderIdentity = newLeader;
        commitTracker.dropProposals();
        stateMachine.leader(newLeader, false);
        groupMembership.leaderFound();
      }
    }
  }

  void announceLeading() {
    stateMachine.leader(storage.identity, true);
  }
}
