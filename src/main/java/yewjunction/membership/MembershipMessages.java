package yewjunction.membership;

import java.util.ArrayList;
import java.util.List;
import yewjunction.common.MessageCodec;

/** What rosters say to one another, in datagrams. */
public final class MembershipMessages {
  private MembershipMessages() {}

  public static void know(final MessageCodec codec) {
    codec
        .know(30, Ping.class)
        .know(31, Ack.class)
        .know(32, PingRequest.class)
        .know(33, SyncRequest.class)
        .know(34, SyncResponse.class);
  }

  abstract static class MembershipMessage {
    Member self;
    List<Member> news = new ArrayList<>();
  }

  static final class Ping extends MembershipMessage {
    long number;
  }

  static final class Ack extends MembershipMessage {
    long number;
  }

  /** Asks the receiver for a second opinion about the target. */
  static final class PingRequest extends MembershipMessage {
    long number;
    String target;
  }

  /** A newcomer asks for the whole crew. */
  static final class SyncRequest extends MembershipMessage {
    /** Of all that the sender knows, itself included: who knows the same need not tell it. */
    long digest;
  }

  static final class SyncResponse extends MembershipMessage {}
}
