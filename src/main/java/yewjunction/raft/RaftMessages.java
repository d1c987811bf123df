package yewjunction.raft;

import java.util.ArrayList;
import java.util.List;
import yewjunction.common.MessageCodec;

/**
 * The messages between members of one group, listed with their timeouts in docs/control/calls.md.
 * Fields are encoded by position: a field may be added at the end, and none may be moved, removed
 * or given another type.
 */
public final class RaftMessages {
  private RaftMessages() {}

  /** Registers all messages under their numbers. */
  public static void register(final MessageCodec codec) {
    codec
        .register(10, VoteRequest.class)
        .register(11, VoteResponse.class)
        .register(12, AppendEntriesRequest.class)
        .register(13, AppendEntriesResponse.class)
        .register(14, InstallSnapshotRequest.class)
        .register(15, TimeoutNowRequest.class)
        .register(16, JoinRequest.class)
        .register(17, InstallSnapshotResponse.class)
        .register(18, FetchRequest.class)
        .register(19, FetchResponse.class);
  }

  /** Common to all: the group, the sender, the receiver and the term. */
  abstract static class RaftMessage {
    int group;

    /**
     * The sender's identity. Null, with {@code to} 0, where earlier messages on the connection said
     * both.
     */
    String from;

    /**
     * A hash of the receiver's identity, which only has to recognise itself; most messages cross
     * zones, so they are short.
     */
    long to;

    long term;
  }

  /** Sets another term than the sender's current one. */
  static <T extends RaftMessage> T withTerm(final T message, final long term) {
    message.term = term;
    return message;
  }

  /** A hash that names a receiver in 8 bytes; never 0, which stands for anyone. */
  static long identityHash(final String identity) {
    long hash = 0xcbf29ce484222325L;
    for (int at = 0; at < identity.length(); at++) {
      hash = (hash ^ identity.charAt(at)) * 0x100000001b3L;
    }
    return hash >>> 1 | 1;
  }

  /**
   * Asks for a vote, or with preVote set whether one would be given. Response: {@link
   * VoteResponse}.
   */
  static final class VoteRequest extends RaftMessage {
    boolean preVote;
    boolean leadershipTransfer;
    long lastIndex;
    long lastTerm;
  }

  /** Grants or denies; with preVote set it promises nothing. */
  static final class VoteResponse extends RaftMessage {
    boolean preVote;
    boolean granted;
  }

  /** Entries of the leader, or a heartbeat without any. Response: {@link AppendEntriesResponse}. */
  static final class AppendEntriesRequest extends RaftMessage {
    long prevIndex;
    long prevTerm;
    long commitIndex;
    long round;

    /** Whether no response is needed if the receiver's log is as the leader thinks. */
    boolean responseOptional;

    List<LogEntry> entries = new ArrayList<>();

    /** Where the receiver is to fetch committed entries; null when the leader sends them. */
    String relayAddress;
  }

  /**
   * A member without a vote asks one of its zone for what is committed behind its own end.
   * Response: {@link FetchResponse}, as soon as there is something.
   */
  static final class FetchRequest extends RaftMessage {
    long nextIndex;
    long lastTerm;
  }

  /** Committed entries behind the requester's end. */
  static final class FetchResponse extends RaftMessage {
    long prevIndex;
    long prevTerm;
    List<LogEntry> entries = new ArrayList<>();
  }

  /**
   * How far the sender holds the leader's log on disk, or that the entry before the request's is
   * not the leader's.
   */
  static final class AppendEntriesResponse extends RaftMessage {
    boolean accepted;
    long matchIndex;
    long round;
  }

  /**
   * A chunk of a snapshot, for a member too far behind; the next one follows the {@link
   * InstallSnapshotResponse}.
   */
  static final class InstallSnapshotRequest extends RaftMessage {
    long lastIndex;
    long lastTerm;
    List<String> voters = new ArrayList<>();

    /** Where this chunk begins, and the length of the whole snapshot. */
    int offset;

    int totalBytes;
    byte[] chunk = new byte[0];

    /**
     * Number of the snapshot in the sender's term: two of the same index may differ in their bytes.
     */
    long snapshotNumber;

    /** Number of the request for this snapshot; one without a chunk only asks how much is held. */
    int attempt;
  }

  /** How much of a snapshot the receiver holds. */
  static final class InstallSnapshotResponse extends RaftMessage {
    long lastIndex;
    int receivedBytes;

    /** Of the request that it answers. */
    long snapshotNumber;

    int attempt;
  }

  /**
   * The leader stops: the receiver is to start an election now, without a pre-vote. No response.
   */
  static final class TimeoutNowRequest extends RaftMessage {}

  /**
   * A new member asks the leader to bring it up to date and make it a voter when a place is free.
   */
  static final class JoinRequest extends RaftMessage {
    boolean wantsVote;

    /** Set by a member that forwarded it to the leader; it is forwarded once. */
    Boolean forwarded;

    /** Set when the process is about to end: a voter's place is for somebody else. */
    Boolean leaving;
  }
}
