package yewjunction.roster;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import yewjunction.base.Codec;
import yewjunction.base.GoldenBytes;

/** The bytes of every membership datagram are those of release 0.1.0. */
class MembershipWireFormatTest {
    private static Peer peer(final int salt) {
        final Peer peer = new Peer();
        peer.address = "10.0.0." + salt + ":7000";
        peer.node = "node-" + salt;
        peer.zone = "zone-" + salt;
        peer.duty = "vault";
        peer.front = "10.0.0." + salt + ":80";
        peer.life = 1_000L + salt;
        peer.ready = true;
        peer.number = 2_000L + salt;
        peer.standing = Peer.SUSPECT;
        return peer;
    }

    private static <T extends Letters.Letter> T headed(final T message, final int salt) {
        message.self = peer(salt);
        message.news = List.of(peer(salt + 1), peer(salt + 2));
        return message;
    }

    @Test
    void datagramsKeepTheirBytes() {
        final Map<String, Object> messages = new LinkedHashMap<>();
        final Letters.Probe probe = headed(new Letters.Probe(), 1);
        probe.number = 11;
        messages.put("30", probe);
        final Letters.Echo echo = headed(new Letters.Echo(), 4);
        echo.number = 12;
        messages.put("31", echo);
        final Letters.Detour detour = headed(new Letters.Detour(), 7);
        detour.number = 13;
        detour.target = "10.0.0.9:7000";
        messages.put("32", detour);
        final Letters.Hail hail = headed(new Letters.Hail(), 10);
        hail.digest = 14;
        messages.put("33", hail);
        messages.put("34", headed(new Letters.Crew(), 13));
        final Codec codec = new Codec();
        Letters.know(codec);
        GoldenBytes.assertUnchanged("membership.txt", GoldenBytes.encode(codec, messages));
    }
}
