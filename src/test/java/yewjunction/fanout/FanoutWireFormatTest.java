package yewjunction.fanout;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import yewjunction.common.GoldenBytes;
import yewjunction.common.MessageCodec;
import yewjunction.store.StoredMessage;

/**
 * The bytes of every message between an edge and a store that serves it are those of release 0.1.0.
 */
class FanoutWireFormatTest {
  private static StoredMessage message() {
    final StoredMessage message = new StoredMessage();
    message.index = 101;
    message.topic = "topic.a";
    message.client = "client-1";
    message.number = 7;
    message.body = new byte[] {5, 6};
    return message;
  }

  @Test
  void messagesKeepTheirBytes() {
    final Map<String, Object> messages = new LinkedHashMap<>();
    final FanoutMessages.AttachRequest attach = new FanoutMessages.AttachRequest();
    attach.replica = 1;
    attach.node = "node-1";
    attach.last = 2;
    attach.mark = 3;
    messages.put("90", attach);
    final FanoutMessages.AttachResponse welcome = new FanoutMessages.AttachResponse();
    welcome.accepted = true;
    welcome.start = 4;
    welcome.leader = "10.0.0.1:7000#x";
    messages.put("91", welcome);
    final FanoutMessages.StreamBatch flow = new FanoutMessages.StreamBatch();
    flow.from = 5;
    flow.upTo = 6;
    flow.leader = "10.0.0.1:7000#x";
    flow.messages = List.of(message());
    messages.put("92", flow);
    final FanoutMessages.SubscribeRequest notice = new FanoutMessages.SubscribeRequest();
    notice.request = 7;
    notice.topic = "topic.a";
    notice.client = "client-1";
    notice.instance = 8;
    notice.position = 9;
    messages.put("93", notice);
    final FanoutMessages.ReplayResponse taken = new FanoutMessages.ReplayResponse();
    taken.request = 10;
    taken.expired = true;
    taken.position = 11;
    taken.messages = List.of(message());
    taken.more = false;
    messages.put("94", taken);
    final FanoutMessages.Heartbeat word = new FanoutMessages.Heartbeat();
    word.last = 12;
    messages.put("95", word);
    final FanoutMessages.ReplicaStates cloth = new FanoutMessages.ReplicaStates();
    cloth.state = new byte[] {1, 2};
    cloth.mark = 13;
    messages.put("96", cloth);
    final FanoutMessages.DigestRequest gauge = new FanoutMessages.DigestRequest();
    gauge.marks = new byte[] {3, 4};
    gauge.mostCells = 14;
    gauge.mutual = true;
    gauge.own = false;
    messages.put("97", gauge);
    final FanoutMessages.DigestResponse match = new FanoutMessages.DigestResponse();
    match.state = new byte[] {5};
    match.wanted = List.of(15L, 16L);
    messages.put("98", match);
    final FanoutMessages.CountRequest tally = new FanoutMessages.CountRequest();
    tally.request = 17;
    tally.topic = "topic.b";
    messages.put("99", tally);
    final FanoutMessages.CountResponse tallied = new FanoutMessages.CountResponse();
    tallied.request = 18;
    tallied.count = 19;
    messages.put("100", tallied);
    final FanoutMessages.ReplayRequest further = new FanoutMessages.ReplayRequest();
    further.request = 20;
    further.topic = "topic.c";
    further.after = 21;
    further.upTo = 22;
    messages.put("101", further);
    final MessageCodec codec = new MessageCodec();
    FanoutMessages.know(codec);
    GoldenBytes.assertUnchanged("fanout.txt", GoldenBytes.encode(codec, messages));
  }
}
