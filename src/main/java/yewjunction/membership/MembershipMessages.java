package yewjunction.membership;

import java.util.ArrayList;
import java.util.List;
import yewjunction.common.MessageCodec;

/**
 * The datagrams between members. Any of them may be lost, doubled or late. Fields are encoded by
 * position: one may be added at the end, and none may be moved, removed or given another type.
 */
public final class MembershipMessages {
  private MembershipMessages() {}

  /** Registers all messages under their numbers. */
  public static void register(final MessageCodec codec) {
    codec
        .register(30, Ping.class)
        .register(31, Ack.class)
        .register(32, PingRequest.class)
        .register(33, SyncRequest.class)
        .register(34, SyncResponse.class);
  }

  /** Common to all: who sends, and updates about others that ride along. */
  abstract static class MembershipMessage {
    Member sender;
    List<Member> updates = new ArrayList<>();
  }

  /** Asks whether the receiver runs. Response: {@link Ack} with the same number. */
  static final class Ping extends MembershipMessage {
    long requestId;
  }

  /** The response to a ping; with number 0 it only carries updates. */
  static final class Ack extends MembershipMessage {
    long requestId;
  }

  /**
   * Asks the receiver to ping the target. Response: {@link Ack} with the same number if the target
   * responds.
   */
  static final class PingRequest extends MembershipMessage {
    long requestId;
    String target;
  }

  /** Asks for the whole list. Response: {@link SyncResponse}. */
  static final class SyncRequest extends MembershipMessage {
    /** A digest of the sender's list: a receiver with the same list need not send it. */
    long digest;
  }

  /** Members that the sender knows, as updates; several datagrams where they are many. */
  static final class SyncResponse extends MembershipMessage {}
}
