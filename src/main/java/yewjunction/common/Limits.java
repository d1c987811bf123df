package yewjunction.common;

/**
 * Every constant of the daemons, with its unit and the reason for its value; those of the tools:
 * ToolLimits.
 */
public final class Limits {
  private Limits() {}

  // --- links between peers ---
  /** ms; a peer that is up takes a link within a round trip, so a second means it is dark. */
  public static final long DIAL_MS = 1_000;

  /**
   * ms; a link that sent nothing for this long says so, which keeps a dark peer apart from a quiet
   * one.
   */
  public static final long LINK_BEAT_MS = 800;

  /** ms; about three beats: two may be late on a lossy link. */
  public static final long LINK_SILENCE_MS = 2_600;

  /** bytes; one letter at most, above any snapshot piece and any state of the set. */
  public static final int LETTER_BYTES = 16 << 20;

  /** bytes; what may wait for a peer that reads slowly before it is cut. */
  public static final int LINK_QUEUE_BYTES = 24 << 20;

  /** bytes; first size of a buffer of a peer link: most letters fit. */
  public static final int LINK_BUFFER_BYTES = 4 << 10;

  // --- clients ---
  /** bytes; body of a message at most and at least (protocol). */
  public static final int BODY_BYTES = 16 << 10, BODY_LEAST_BYTES = 20;

  /** bytes; a head line of words and fields at most: far above any name in use. */
  public static final int HEAD_BYTES = 2 << 10;

  /** bytes; what may wait for a client that reads slowly; it can take up its cursors again. */
  public static final int CLIENT_QUEUE_BYTES = 4 << 20;

  /** bytes; first size of a client's buffer: most messages fit. */
  public static final int CLIENT_BUFFER_BYTES = 512;

  /** links; connections waiting to be taken: after a mass reset all come at once. */
  public static final int BACKLOG = 2_048;

  /**
   * bytes; a body above this that is announced is skipped by closing the link: reading it would
   * cost more.
   */
  public static final int BODY_SKIP_BYTES = 1 << 20;

  /**
   * times PingS of silence after which a client may be dropped (protocol says 3; a little more
   * spares late ones).
   */
  public static final double SILENT_PINGS = 3.5;

  /** ms; pace of looking for silent clients and answers that are overdue. */
  public static final long DOCK_SWEEP_MS = 100;

  /**
   * share of a space's TimeoutMs after which the edge gives its final answer to a message still
   * under way.
   */
  public static final double ANSWER_SHARE = 0.5;

  /** the same for a message that never left the edge: the client may have more luck elsewhere. */
  public static final double HOLD_SHARE = 0.4;

  /** ms; a number that comes so soon after a greeting may have been sent on an earlier link. */
  public static final long FRESH_MS = 2_000;

  /**
   * ms; without an answer of any leader for so long an edge takes no new messages: above an
   * election.
   */
  public static final long DARK_MS = 1_500;

  /** messages and bytes; an edge's intake at most. */
  public static final int INTAKE_MOST = 4_000, INTAKE_BYTES = 8 << 20;

  /**
   * messages; offered to the leader at a time by one edge: several round trips' worth at full load.
   */
  public static final int INTAKE_WINDOW = 128;

  /**
   * ms; first and longest pause before a leader that was lost, or that does not lead, is offered
   * messages again.
   */
  public static final long OFFER_FIRST_MS = 25, OFFER_MOST_MS = 400;

  /**
   * ms; a SUB gets its final answer by then, before any client resets its link; and how many a home
   * is asked at a time.
   */
  public static final long JOIN_ANSWER_MS = 1_000, JOIN_WINDOW = 128;

  /**
   * ms; a HELLO waits this long for an edge that is still starting or whose lease is being renewed.
   */
  public static final long HELLO_ANSWER_MS = 1_000;

  /**
   * ms; an edge whose lease has lapsed for so long lets its clients go: others may still serve
   * them.
   */
  public static final long LAPSED_LINKS_MS = 3_000;

  /**
   * ms; subscriptions of a client that stays away this long are removed, well after the longest
   * keeping time.
   */
  public static final long AWAY_MS = 120_000;

  /**
   * ms; pace of asking whether this edge is ready, well below the platform's own pace of a second.
   */
  public static final long READY_LOOK_MS = 100;

  // --- filters and catching up ---
  /**
   * count and bytes; patterns of a filter, and a filter, at most: with its topic and cursor it
   * stays inside a head line.
   */
  public static final int FILTER_PATTERNS = 64, FILTER_BYTES = 1 << 10;

  /**
   * ms; pace of renewing a filtered subscription's cursor while unwanted messages pass; at most a
   * quarter of LingerS.
   */
  public static final long RENEW_MS = 5_000;

  /**
   * bytes; what each tenant may write of older messages in one turn, and what needs no turns at
   * all.
   */
  public static final int REPLAY_TURN_BYTES = 16 << 10;

  /** ms; from one turn of catching up to the next: other work is served between. */
  public static final long REPLAY_TURN_MS = 2;

  /** bytes; a client with more than this unread gets no older messages for the while. */
  public static final int REPLAY_LINE_BYTES = 64 << 10;

  /** messages; new ones that wait behind older ones of one subscription at most. */
  public static final int REPLAY_LIVE_MOST = 2_000;

  /** bytes; one piece of older messages from a home: a few turns' worth. */
  public static final int REPLAY_PIECE_BYTES = 64 << 10;

  /**
   * bytes; what waits for all clients of an edge together: when readers stall in numbers, the
   * slowest are cut.
   */
  public static final int CLIENTS_QUEUE_BYTES = 24 << 20;

  // --- declared order ---
  /**
   * ms; a burst of SUBs after a greeting is over when none has come for so long (a client's round
   * trip), and at most.
   */
  public static final long ORDER_BURST_MS = 50, ORDER_BURST_MOST_MS = 300;

  /** ms; pace of looking whether what was waited for has been written. */
  public static final long ORDER_LOOK_MS = 10;

  /**
   * ms; a link that waits for an earlier channel for so long is closed: its cursors are taken up
   * anew.
   */
  public static final long ORDER_WAIT_MS = 8_000;

  /**
   * ms; what comes so soon after a refusal was sent before its sender heard of it: a round trip of
   * a slow client.
   */
  public static final long ORDER_DENIED_MS = 250;

  /** count; senders whose last numbers are known for each subscription of a link. */
  public static final int GUARD_SENDERS = 32;

  /** count; channels whose breaks are counted apart. */
  public static final int DISORDER_CHANNELS = 100;

  // --- drain ---
  /** ms; links are moved over this span, in steps, so that the other edges take them one by one. */
  public static final long MOVE_SPAN_MS = 1_200, MOVE_STEP_MS = 50;

  /** ms; a draining edge ends by then, inside the platform's grace. */
  public static final long DRAIN_MS = 3_000;

  // --- roster ---
  /** ms; one probe each period. */
  public static final long PROBE_MS = 1_000;

  /** ms; a direct answer by then, or others are asked. */
  public static final long PROBE_ANSWER_MS = 300;

  /** count; peers asked for a second opinion. */
  public static final int PROBE_HELPERS = 2;

  /** ms; a suspected peer may refute this long. */
  public static final long SUSPECT_MS = 2_000;

  /** ms; how long a removed peer is remembered, so that late news does not revive it. */
  public static final long GONE_MS = 20_000;

  /** count; news that ride on one probe: keeps datagrams small. */
  public static final int NEWS_PER_PROBE = 6;

  /** times; how often one piece of news rides along. */
  public static final int NEWS_TIMES = 6;

  /** one probe in so many goes to another zone: cross-zone bytes are dear. */
  public static final int PROBE_ACROSS_EVERY = 6;

  /** peers; told in one datagram: about 100 bytes each, and a large datagram is lost whole. */
  public static final int CREW_PER_LETTER = 24;

  /** ms; pace of asking the seeds until one answers; from then on three times slower each time. */
  public static final long JOIN_MS = 300;

  /**
   * ms; the slowest pace of asking again, and how many of these questions go to one seed: heals a
   * roster that split.
   */
  public static final long REJOIN_MS = 10_000;

  public static final int HAIL_SEED_EVERY = 6, HAIL_SEED_FIRST = 5;

  // --- ledger ---
  /** ms; beat of a leader. */
  public static final long BEAT_MS = 100;

  /** ms; least and most wait before a follower stands for election. */
  public static final long ELECT_LEAST_MS = 400, ELECT_MOST_MS = 700;

  /**
   * ms; the same for a process that has just started: it owes no patience to a leader it never
   * heard, and asks first.
   */
  public static final long ELECT_FIRST_LEAST_MS = 120, ELECT_FIRST_MOST_MS = 320;

  /**
   * ms; a follower whose link from the leader broke waits this long for another: above a beat and a
   * dial.
   */
  public static final long ELECT_BROKEN_LEAST_MS = 130, ELECT_BROKEN_MOST_MS = 260;

  /**
   * share of beats that every peer answers late, above which a leader hands over: its own links
   * must be the cause.
   */
  public static final double LATE_SHARE = 0.2;

  /** weight of the newest beat in that share: it looks back about two seconds. */
  public static final double LATE_WEIGHT = 0.05;

  /**
   * ms; a leader leads at least this long before it hands over for that: no ping-pong where all
   * links are slow.
   */
  public static final long LATE_REST_MS = 3_000;

  /** entries and bytes; one append letter at most. */
  public static final int APPEND_ENTRIES = 256, APPEND_BYTES = 512 << 10;

  /** ms; unanswered appends are sent again after this. */
  public static final long APPEND_AGAIN_MS = 400;

  /** bytes; a ledger file longer than this is rewritten. */
  public static final long LEDGER_BYTES = 12L << 20;

  /** entries and bytes; kept behind a snapshot for peers that were away a short while. */
  public static final int LEDGER_TAIL_ENTRIES = 2_000, LEDGER_TAIL_BYTES = 2 << 20;

  /** bytes; one piece of a snapshot: below what holds up a beat on a slow link. */
  public static final int IMAGE_PIECE_BYTES = 128 << 10;

  /** ms; a commit waits so long for entries to ride on: a twentieth of the shortest aim. */
  public static final long COMMIT_WORD_MS = 5;

  /**
   * ms; how often a leader tells a member that another one serves, and how often that one asks
   * again without an answer.
   */
  public static final long RELAY_BEAT_MS = 200, RELAY_AGAIN_MS = 500;

  /** entries; a member further behind is brought up by the leader itself. */
  public static final int RELAY_ENTRIES = 500;

  /** ms; a leader that stops hands over within this. */
  public static final long HAND_OVER_MS = 700;

  /** entries; a newcomer this close to the end may become a voter. */
  public static final int CAUGHT_UP_ENTRIES = 50;

  /**
   * ms; a voter silent for so long loses its seat to a spare: above an election, below what a
   * replaced machine is given.
   */
  public static final long VOTER_SILENT_MS = 1_500;

  /** ms; the same for one that answers but whose disk takes nothing. */
  public static final long VOTER_LAGS_MS = 2_500;

  /**
   * ms; a member that has heard no leader for so long asks around: it may have lost its seat
   * meanwhile.
   */
  public static final long ASK_AROUND_MS = 2_000;

  /** ms; pace of trying a write again for which the disk had no room. */
  public static final long DISK_AGAIN_MS = 100;

  /**
   * ms; a leader whose own disk has held a write for so long hands over: the others' disks do
   * without it.
   */
  public static final long DISK_DRAGS_MS = 600;

  // --- charter ---
  /** ms; pace of a tide's renewal of its lease. */
  public static final long LEASE_PACE_MS = 600;

  /** ms; the pace of a process that has no configuration yet: clients wait for it. */
  public static final long LEASE_FIRST_MS = 120;

  /**
   * ms; counted from when the renewal was asked for; below ApplyMs and RevokeMs of every
   * deployment.
   */
  public static final long LEASE_MS = 2_500;

  /** ms; a home asks the leader at most this often, for all who asked meanwhile. */
  public static final long LEASE_BATCH_MS = 150;

  /** renewals; after so many good ones a tide asks the nearest crux again. */
  public static final int LEASE_RETURN = 8;

  /** ms; a renewal without an answer is asked of another crux after this. */
  public static final long LEASE_ANSWER_MS = 500;

  /**
   * ms; news of facts are gathered this long: a hundred processes that start together make a
   * hundred of them.
   */
  public static final long FACTS_BATCH_MS = 200;

  /** count; changes that a crux remembers for those that know what was before. */
  public static final int NEWS_KEPT = 256;

  /** ms; an operator's call waits at most this long inside a crux. */
  public static final long CALL_MS = 900;

  /** bytes; a configuration at most; and versions whose digest is remembered for exact repeats. */
  public static final int CONFIG_BYTES = 1 << 20, TAKEN_VERSIONS = 512;

  /** ms; a replica gone from the roster for this long is retired. */
  public static final long REPLICA_GONE_MS = 60_000;

  /**
   * threads for operator calls, each held while bytes are read or written: eight orders, and as
   * many looks.
   */
  public static final int CALL_THREADS = 16;

  // --- weave ---
  /** ms; pace of exchange between an edge and its home, and inside a zone. */
  public static final long GOSSIP_MS = 1_000;

  /**
   * one round in so many also asks homes of other zones of their own edges; each one while some
   * client asks for counts.
   */
  public static final int GOSSIP_ACROSS_EVERY = 12;

  /**
   * one round in so many also compares a little of everything with them: parts whose home is gone.
   */
  public static final int GOSSIP_HEAL_EVERY = 60;

  /** ms; a zone counts as asking for this long after a question. */
  public static final long COUNTING_MS = 10_000;

  /** cells; one answer to a digest at most: about 12 bytes each on the wire. */
  public static final int GAUGE_CELLS = 40_000;

  /**
   * rounds; an edge compares with its home this seldom, since it hears of what concerns it at once.
   */
  public static final int GAUGE_EDGE_EVERY = 5;

  /** cells; what such a comparison may bring: an edge's link is narrow where edges are many. */
  public static final int GAUGE_EDGE_CELLS = 600;

  /** ms; a home that has not counted by then is not waited for. */
  public static final long TALLY_MS = 250;

  // --- vault ---
  /** ms; kept beyond a space's LingerS: covers late starts of the clock on other disks. */
  public static final long KEEP_SLACK_MS = 12_000;

  /** ms; how long an accepted or denied number is remembered: well above ResendS. */
  public static final long NUMBER_MS = 60_000;

  /**
   * shares of a quota's excess and slack: what a bucket uses, and what it holds at the start of a
   * vault; the rest covers changes of the leader and messages held for it.
   */
  public static final double QUOTA_SHARE = 0.35, QUOTA_SPARE = 0.4;

  /** ms; what a vault applies so soon after its start is its own log again. */
  public static final long QUOTA_REPLAY_MS = 1_500;

  /** ms; pace of dropping old messages and numbers. */
  public static final long VAULT_SWEEP_MS = 1_000;

  /**
   * ms; when fewer vaults than the losses need have called for this long, those there are begin:
   * late ones join.
   */
  public static final long VAULTS_WAIT_MS = 12_000;

  /** ms; pace of a vault's call to crux. */
  public static final long ENROL_MS = 500;

  // --- borrowing ahead ---
  /**
   * messages; the largest debt and rate of a tenant that borrows: above any in use, and far from
   * overflow in thousandths.
   */
  public static final long BORROW_MOST = 1_000_000_000L;

  /**
   * share of RatePerS withheld while in debt where RepayShare is absent: half goes on as before.
   */
  public static final double REPAY_SHARE = 0.5;

  /**
   * ms; while somebody owes, the passing of time enters the log at this pace, so that all vaults
   * see the debt fall.
   */
  public static final long SETTLE_MS = 2_000;

  /** messages under way at the leader, above which nothing is lent: others come first. */
  public static final int LEND_IN_FLIGHT = 256;

  /** ms; the same for what its disk owes a write. */
  public static final long LEND_OWED_MS = 150;

  /**
   * messages; borrowed in one turn of the agent, and of one tenant that wait to borrow, at most:
   * more are denied at once.
   */
  public static final int LEND_TURN = 16, LEND_WAITING = 256;

  // --- herald ---
  /** ms; beat of a home to its edges, and pace of an edge's word to its home. */
  public static final long HOME_BEAT_MS = 300;

  /** ms; an edge leaves a home that is silent for this long: two beats and some lateness. */
  public static final long HOME_SILENCE_MS = 750;

  /**
   * ms; an edge that fled to another zone's vault goes back once its own has been up for this long.
   */
  public static final long HOME_RETURN_MS = 2_000;

  /** ms; an edge without a home for this long calls itself not ready. */
  public static final long HOMELESS_MS = 3_000;

  /** messages; one piece of a stream at most. */
  public static final int FLOW_ITEMS = 200;

  // --- settings ---
  /** ms; pace of looking at the settings file. */
  public static final long SETTINGS_LOOK_MS = 1_000;
}
