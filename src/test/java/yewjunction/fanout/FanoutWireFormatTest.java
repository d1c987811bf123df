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
    message.sequenceNumber = 7;
    message.body = new byte[] {5, 6};
    return message;
  }

  @Test
  void messagesKeepTheirBytes() {
    final Map<String, Object> messages = new LinkedHashMap<>();
    putStreams(messages);
    putSubscriptionSync(messages);
    putRequests(messages);
    final MessageCodec codec = new MessageCodec();
    FanoutMessages.register(codec);
    GoldenBytes.assertUnchanged("fanout.txt", GoldenBytes.encode(codec, messages));
  }

  private static void putStreams(final Map<String, Object> messages) {
    final FanoutMessages.AttachRequest attachRequest = new FanoutMessages.AttachRequest();
    attachRequest.replica = 1;
    attachRequest.node = "node-1";
    attachRequest.lastIndex = 2;
    attachRequest.digest = 3;
    messages.put("90", attachRequest);
    final FanoutMessages.AttachResponse attachResponse = new FanoutMessages.AttachResponse();
    attachResponse.accepted = true;
    attachResponse.startIndex = 4;
    attachResponse.leader = "10.0.0.1:7000#x";
    messages.put("91", attachResponse);
    final FanoutMessages.StreamBatch batch = new FanoutMessages.StreamBatch();
    batch.previousIndex = 5;
    batch.throughIndex = 6;
    batch.leader = "10.0.0.1:7000#x";
    batch.messages = List.of(message());
    messages.put("92", batch);
    final FanoutMessages.SubscribeRequest subscribeRequest = new FanoutMessages.SubscribeRequest();
    subscribeRequest.requestId = 7;
    subscribeRequest.topic = "topic.a";
    subscribeRequest.client = "client-1";
    subscribeRequest.instance = 8;
    subscribeRequest.position = 9;
    messages.put("93", subscribeRequest);
    final FanoutMessages.ReplayResponse replayResponse = new FanoutMessages.ReplayResponse();
    replayResponse.requestId = 10;
    replayResponse.expired = true;
    replayResponse.position = 11;
    replayResponse.messages = List.of(message());
    replayResponse.more = false;
    messages.put("94", replayResponse);
    final FanoutMessages.Heartbeat heartbeat = new FanoutMessages.Heartbeat();
    heartbeat.lastIndex = 12;
    messages.put("95", heartbeat);
  }

  private static void putSubscriptionSync(final Map<String, Object> messages) {
    final FanoutMessages.ReplicaStates states = new FanoutMessages.ReplicaStates();
    states.states = new byte[] {1, 2};
    states.digest = 13;
    messages.put("96", states);
    final FanoutMessages.DigestRequest digestRequest = new FanoutMessages.DigestRequest();
    digestRequest.digests = new byte[] {3, 4};
    digestRequest.maxCells = 14;
    digestRequest.mutual = true;
    digestRequest.ownEdgesOnly = false;
    messages.put("97", digestRequest);
    final FanoutMessages.DigestResponse digestResponse = new FanoutMessages.DigestResponse();
    digestResponse.states = new byte[] {5};
    digestResponse.wantedReplicas = List.of(15L, 16L);
    messages.put("98", digestResponse);
  }

  private static void putRequests(final Map<String, Object> messages) {
    final FanoutMessages.CountRequest countRequest = new FanoutMessages.CountRequest();
    countRequest.requestId = 17;
    countRequest.topic = "topic.b";
    messages.put("99", countRequest);
    final FanoutMessages.CountResponse countResponse = new FanoutMessages.CountResponse();
    countResponse.requestId = 18;
    countResponse.count = 19;
    messages.put("100", countResponse);
    final FanoutMessages.ReplayRequest replayRequest = new FanoutMessages.ReplayRequest();
    replayRequest.requestId = 20;
    replayRequest.topic = "topic.c";
    replayRequest.afterIndex = 21;
    replayRequest.throughIndex = 22;
    messages.put("101", replayRequest);
  }
}
