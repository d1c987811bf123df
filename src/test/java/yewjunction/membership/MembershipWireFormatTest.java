package yewjunction.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import yewjunction.common.GoldenBytes;
import yewjunction.common.MessageCodec;

/** The bytes of every membership datagram are those of release 0.1.0. */
class MembershipWireFormatTest {
  private static Member peer(final int salt) {
    final Member member = new Member();
    member.address = "10.0.0." + salt + ":7000";
    member.node = "node-" + salt;
    member.zone = "zone-" + salt;
    member.role = "vault";
    member.clientAddress = "10.0.0." + salt + ":80";
    member.life = 1_000L + salt;
    member.ready = true;
    member.incarnation = 2_000L + salt;
    member.state = Member.SUSPECT;
    return member;
  }

  private static <T extends MembershipMessages.MembershipMessage> T headed(
      final T message, final int salt) {
    message.sender = peer(salt);
    message.updates = List.of(peer(salt + 1), peer(salt + 2));
    return message;
  }

  @Test
  void datagramsKeepTheirBytes() {
    final Map<String, Object> messages = new LinkedHashMap<>();
    final MembershipMessages.Ping ping = headed(new MembershipMessages.Ping(), 1);
    ping.requestId = 11;
    messages.put("30", ping);
    final MembershipMessages.Ack ack = headed(new MembershipMessages.Ack(), 4);
    ack.requestId = 12;
    messages.put("31", ack);
    final MembershipMessages.PingRequest pingRequest =
        headed(new MembershipMessages.PingRequest(), 7);
    pingRequest.requestId = 13;
    pingRequest.target = "10.0.0.9:7000";
    messages.put("32", pingRequest);
    final MembershipMessages.SyncRequest syncRequest =
        headed(new MembershipMessages.SyncRequest(), 10);
    syncRequest.digest = 14;
    messages.put("33", syncRequest);
    messages.put("34", headed(new MembershipMessages.SyncResponse(), 13));
    final MessageCodec codec = new MessageCodec();
    MembershipMessages.register(codec);
    GoldenBytes.assertUnchanged("membership.txt", GoldenBytes.encode(codec, messages));
  }
}
