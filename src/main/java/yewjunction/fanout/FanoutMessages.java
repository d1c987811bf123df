package yewjunction.fanout;

import java.util.ArrayList;
import java.util.List;
import yewjunction.common.MessageCodec;
import yewjunction.store.StoredMessage;

/** What a home and its edges say to one another. */
public final class FanoutMessages {
  private FanoutMessages() {}

  public static void know(final MessageCodec codec) {
    codec
        .know(90, AttachRequest.class)
        .know(91, AttachResponse.class)
        .know(92, StreamBatch.class)
        .know(93, SubscribeRequest.class)
        .know(94, ReplayResponse.class)
        .know(95, Heartbeat.class)
        .know(96, ReplicaStates.class)
        .know(97, DigestRequest.class)
        .know(98, DigestResponse.class)
        .know(99, CountRequest.class)
        .know(100, CountResponse.class)
        .know(101, ReplayRequest.class);
  }

  /**
   * An edge asks a vault to be its home, from the last index it has processed; -1 for a fresh one.
   */
  static final class AttachRequest {
    long replica;
    String node = "";
    long last;

    /** The digest of the edge's own part of the set, which came just before. */
    long mark;
  }

  static final class AttachResponse {
    boolean accepted;

    /** Where the stream starts; above the asked index when older messages are gone. */
    long start;

    String leader = "";
  }

  /** Messages in order between two indices; an edge takes it only when from is where it stands. */
  static final class StreamBatch {
    long from;
    long upTo;
    String leader = "";
    List<StoredMessage> messages = new ArrayList<>();
  }

  /** Early word of a new instance of the set, and the subscription it stands for. */
  static final class SubscribeRequest {
    long request;
    String topic = "";
    String client = "";
    long instance;

    /** Messages behind this are wanted; -1 for new ones only. */
    long position;
  }

  static final class ReplayResponse {
    long request;
    boolean expired;
    long position;
    List<StoredMessage> messages = new ArrayList<>();

    /** There is more up to the position: to be asked for. */
    boolean more;
  }

  /** Asks for the next piece of a topic's older messages, behind one index and up to another. */
  static final class ReplayRequest {
    long request;
    String topic = "";
    long after;
    long upTo;
  }

  /** An edge is still there. */
  static final class Heartbeat {
    long last;
  }

  /** Whole states of some parts of the set. */
  static final class ReplicaStates {
    byte[] state = new byte[0];

    /** The digest of the sending edge's own part; 0 from others. */
    long mark;
  }

  /** Digests of what the sender holds: asks for the parts that differ. */
  static final class DigestRequest {
    byte[] marks = new byte[0];

    /** Cells that the answer may carry, about. */
    int mostCells;

    /** Whether the sender answers in kind. */
    boolean mutual;

    /**
     * Only the parts of the receiver's own edges are asked for: others have theirs from elsewhere.
     */
    Boolean own;
  }

  /** The answer to a gauge: parts that differ, and which of the asker's are wanted. */
  static final class DigestResponse {
    byte[] state = new byte[0];
    List<Long> wanted = new ArrayList<>();
  }

  /** A client of the edge asks how many subscribe a topic. */
  static final class CountRequest {
    long request;
    String topic = "";
  }

  static final class CountResponse {
    long request;
    int count;
  }
}
