package yewjunction.fanout;

import java.util.ArrayList;
import java.util.List;
import yewjunction.common.MessageCodec;
import yewjunction.store.StoredMessage;

/**
 * The messages between a store and the edges it serves, and between stores about the subscription
 * set. Fields are encoded by position: one may be added at the end, and none may be moved, removed
 * or given another type.
 */
public final class FanoutMessages {
  private FanoutMessages() {}

  /** Registers all messages under their numbers. */
  public static void register(final MessageCodec codec) {
    codec
        .register(90, AttachRequest.class)
        .register(91, AttachResponse.class)
        .register(92, StreamBatch.class)
        .register(93, SubscribeRequest.class)
        .register(94, ReplayResponse.class)
        .register(95, Heartbeat.class)
        .register(96, ReplicaStates.class)
        .register(97, DigestRequest.class)
        .register(98, DigestResponse.class)
        .register(99, CountRequest.class)
        .register(100, CountResponse.class)
        .register(101, ReplayRequest.class);
  }

  /**
   * An edge asks a store to serve it from the last index it has processed; -1 for a new edge.
   * Response: {@link AttachResponse}.
   */
  static final class AttachRequest {
    long replica;
    String node = "";
    long lastIndex;

    /** The digest of the edge's own state of the set, which was sent just before. */
    long digest;
  }

  /** Whether the store serves the edge, and where its stream starts. */
  static final class AttachResponse {
    boolean accepted;

    /**
     * Where the stream starts; above the requested index when messages in between are no longer
     * kept.
     */
    long startIndex;

    String leader = "";
  }

  /**
   * Messages in order between two indices; an edge takes it only when the first is where its stream
   * ends.
   */
  static final class StreamBatch {
    long previousIndex;
    long throughIndex;
    String leader = "";
    List<StoredMessage> messages = new ArrayList<>();
  }

  /**
   * Announces a new instance of the set and the subscription that it stands for. Response: {@link
   * ReplayResponse}.
   */
  static final class SubscribeRequest {
    long requestId;
    String topic = "";
    String client = "";
    long instance;

    /** Messages after this index are wanted; -1 for new ones only. */
    long position;
  }

  /**
   * The response to {@link SubscribeRequest} and {@link ReplayRequest}: older messages of one
   * topic.
   */
  static final class ReplayResponse {
    long requestId;
    boolean expired;
    long position;
    List<StoredMessage> messages = new ArrayList<>();

    /** Whether there is more up to the position, to be requested. */
    boolean more;
  }

  /** Asks for the next chunk of a topic's older messages. Response: {@link ReplayResponse}. */
  static final class ReplayRequest {
    long requestId;
    String topic = "";
    long afterIndex;
    long throughIndex;
  }

  /** The edge is still there. */
  static final class Heartbeat {
    long lastIndex;
  }

  /** Whole states of some replicas of the set. */
  static final class ReplicaStates {
    byte[] states = new byte[0];

    /** The digest of the sending edge's own state; 0 from others. */
    long digest;
  }

  /**
   * Digests of the states that the sender holds: asks for those that differ. Response: {@link
   * DigestResponse}.
   */
  static final class DigestRequest {
    byte[] digests = new byte[0];

    /** About how many instances the response may carry. */
    int maxCells;

    /** Whether the sender will send the states that the receiver lacks. */
    boolean mutual;

    /** Whether only the states of the receiver's own edges are asked for. */
    Boolean ownEdgesOnly;
  }

  /** States that differ, and the replicas whose states are wanted in return. */
  static final class DigestResponse {
    byte[] states = new byte[0];
    List<Long> wantedReplicas = new ArrayList<>();
  }

  /** A client of the edge asks how many subscribe to a topic. Response: {@link CountResponse}. */
  static final class CountRequest {
    long requestId;
    String topic = "";
  }

  /** How many clients subscribe, as far as the store knows. */
  static final class CountResponse {
    long requestId;
    int count;
  }
}
