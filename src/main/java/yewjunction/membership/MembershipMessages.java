package yewjunction.membership;

import java.util.ArrayList;
import java.util.List;
import yewjunction.common.MessageCodec;

/** What membership lists say to one another, in datagrams. */
public final class MembershipMessages {
  private MembershipMessages() {}

  public static void register(final MessageCodec codec) {
    codec
        .register(30, Ping.class)
        .register(31, Ack.class)
        .register(32, PingRequest.class)
        .register(33, SyncRequest.class)
        .register(34, SyncResponse.class);
  }

  abstract static class MembershipMessage {
    Member sender;
    List<Member> updates = new ArrayList<>();
  }

  static final class Ping extends MembershipMessage {
    long requestId;
  }

  static final class Ack extends MembershipMessage {
    long requestId;
  }

  /** Asks the receiver for a second opinion about the target. */
  static final class PingRequest extends MembershipMessage {
    long requestId;
    String target;
  }

  /** A new member asks for the whole membership. */
  static final class SyncRequest extends MembershipMessage {
    /** Of all that the sender knows, itself included: who knows the same need not tell it. */
    long digest;
  }

  static final class SyncResponse extends MembershipMessage {}
}
