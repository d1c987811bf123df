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
    final Member peer = new Member();
    peer.address = "10.0.0." + salt + ":7000";
    peer.node = "node-" + salt;
    peer.zone = "zone-" + salt;
    peer.duty = "vault";
    peer.front = "10.0.0." + salt + ":80";
    peer.life = 1_000L + salt;
    peer.ready = true;
    peer.number = 2_000L + salt;
    peer.standing = Member.SUSPECT;
    return peer;
  }

  private static <T extends MembershipMessages.MembershipMessage> T headed(
      final T message, final int salt) {
    message.self = peer(salt);
    message.news = List.of(peer(salt + 1), peer(salt + 2));
    return message;
  }

  @Test
  void datagramsKeepTheirBytes() {
    final Map<String, Object> messages = new LinkedHashMap<>();
    final MembershipMessages.Ping probe = headed(new MembershipMessages.Ping(), 1);
    probe.number = 11;
    messages.put("30", probe);
    final MembershipMessages.Ack echo = headed(new MembershipMessages.Ack(), 4);
    echo.number = 12;
    messages.put("31", echo);
    final MembershipMessages.PingRequest detour = headed(new MembershipMessages.PingRequest(), 7);
    detour.number = 13;
    detour.target = "10.0.0.9:7000";
    messages.put("32", detour);
    final MembershipMessages.SyncRequest hail = headed(new MembershipMessages.SyncRequest(), 10);
    hail.digest = 14;
    messages.put("33", hail);
    messages.put("34", headed(new MembershipMessages.SyncResponse(), 13));
    final MessageCodec codec = new MessageCodec();
    MembershipMessages.know(codec);
    GoldenBytes.assertUnchanged("membership.txt", GoldenBytes.encode(codec, messages));
  }
}
