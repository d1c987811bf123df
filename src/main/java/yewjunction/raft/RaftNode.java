package yewjunction.raft;

import static yewjunction.common.Limits.ASK_AROUND_MS;
import static yewjunction.common.Limits.ELECT_LEAST_MS;
import static yewjunction.common.Limits.ELECT_MOST_MS;

import java.util.List;
import java.util.function.Consumer;
import yewjunction.common.AgentContext;
import yewjunction.common.LogEvent;
import yewjunction.common.PeerConnection;
import yewjunction.common.PeerTransport;

/** One member of a replicated log. All calls on the owner's thread. */
public final class RaftNode {
  enum Role {
    FOLLOWS,
    STANDS,
    LEADS
  }

  final int group;
  final AgentContext pulse;
  final PeerTransport post;
  final RaftStorage archive;
  final RaftLog log;
  private final StateMachine machine;
  final LeaderState leading;
  final FollowerState following;
  private final Election election;
  final CommitTracker course;
  final ConnectionHandshakes introductions;
  final ZoneRelay relay;
  final GroupMembership membership;
  private Role role = Role.FOLLOWS;
  private String leaderIdentity;
  private PeerConnection leaderLink;
  private long heardMs;
  private boolean stopped;

  public RaftNode(
      final int group,
      final AgentContext pulse,
      final PeerTransport post,
      final Disk disk,
      final TaskExecutor clerk,
      final String name,
      final StateMachine machine) {
    this.group = group;
    this.pulse = pulse;
    this.post = post;
    this.machine = machine;
    archive = new RaftStorage(new AppendOnlyFile(disk, clerk, name));
    log = archive.log;
    introductions = new ConnectionHandshakes(this);
    relay = new ZoneRelay(this);
    membership = new GroupMembership(this);
    leading = new LeaderState(this);
    following = new FollowerState(this);
    election = new Election(this);
    course = new CommitTracker(this, machine);
    heardMs = -ELECT_MOST_MS;
    LogEvent.LEDGER_OPENED.info(
        "group "
            + group
            + " identity "
            + archive.identity
            + " term "
            + archive.term
            + " last "
            + log.lastIndex()
            + " voters "
            + voters());
  }

  /** Names a member whose disk was empty. */
  public void name(final String identity) {
    archive.saveIdentity(identity, () -> {});
  }

  /** The first voters; has no effect on a log that has some. */
  public void found(final List<String> firstVoters) {
    if (voters().isEmpty() && log.lastIndex() == 0) {
      log.reset(0, 0, firstVoters);
      archive.rewrite(0, machine.snapshot(), () -> {});
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
    return archive.identity;
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
    return course.commit();
  }

  public long applied() {
    return course.applied();
  }

  /** True when this member leads and has applied all that was committed before its term. */
  public boolean leads() {
    return role == Role.LEADS && course.applied() >= leading.firstIndex() && !stopped;
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
    if (!leads() || leading.electorate.handing()) {
      return false;
    }
    final long index = leading.append(LogEntry.DATA, data);
    course.await(index, archive.term, done);
    return true;
  }

  /** Asks a majority whether this member still leads; true comes only after that. */
  public void confirm(final Consumer<Boolean> done) {
    if (leads()) {
      leading.confirm(done);
    } else {
      done.accept(false);
    }
  }

  /** How far entries are synced, committed and applied here. */
  public CommitTracker course() {
    return course;
  }

  /** Who votes, decided by the leader. */
  public VoterReconfiguration electorate() {
    return leading.electorate;
  }

  /** This member's own side of its membership. */
  public GroupMembership membership() {
    return membership;
  }

  /** Takes the group's letters from the post. */
  public void listen() {
    new MessageRouter(this, following, leading, election).listen();
  }

  <T extends RaftMessages.RaftMessage> T addressed(final T letter, final String to) {
    letter.group = group;
    letter.from = archive.identity;
    letter.to = to == null ? 0 : RaftMessages.shortened(to);
    letter.term = archive.term;
    return letter;
  }

  void sendTo(final String identity, final RaftMessages.RaftMessage letter) {
    introductions.send(post.dial(address(identity)), addressed(letter, identity));
  }

  void restartClock() {
    election.restartClock();
  }

  /** Heard of no leader for a while: none is in reach, or this member is no longer told. */
  public boolean leaderless() {
    return leaderIdentity == null && pulse.nowMs() - heardMs > ASK_AROUND_MS;
  }

  boolean heardLately() {
    return role == Role.LEADS || leaderIdentity != null && pulse.nowMs() - heardMs < ELECT_LEAST_MS;
  }

  void heardOn(final PeerConnection link) {
    leaderLink = link;
  }

  void closed(final PeerConnection link) {
    introductions.closed(link);
    relay.closed(link);
    if (link == leaderLink && role == Role.FOLLOWS && !stopped) {
      leaderLink = null;
      heardMs = pulse.nowMs() - ELECT_LEAST_MS;
      election.leaderLinkBroke();
    }
  }

  void stands() {
    role = Role.STANDS;
  }

  void lead() {
    role = Role.LEADS;
    leaderIdentity = archive.identity;
    leading.begin();
  }

  /** A later term was seen: whatever this member was, it follows now. */
  void seen(final long newTerm) {
    if (newTerm > archive.term) {
      archive.saveVote(newTerm, "", () -> {});
      follow(null);
    }
  }

  void follow(final String newLeader) {
    final boolean led = role == Role.LEADS;
    role = Role.FOLLOWS;
    if (led) {
      // Whoever is told no here must not find a leader any more: it would propose in a term that is
      // another's.
      LogEvent.LEADER_LOST.info("group " + group + " term " + archive.term);
      leading.end();
    }
    election.over();
    if (newLeader == null && leaderIdentity != null) {
      leaderIdentity = null;
      course.dropProposals();
      machine.leader(null, false);
    } else if (newLeader != null) {
      heardMs = pulse.nowMs();
      restartClock();
      if (!newLeader.equals(leaderIdentity)) {
        leaderIdentity = newLeader;
        course.dropProposals();
        machine.leader(newLeader, false);
        membership.leaderFound();
      }
    }
  }

  void announceLeading() {
    machine.leader(archive.identity, true);
  }
}
