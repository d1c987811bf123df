package yewjunction.store;

import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import yewjunction.common.GoldenBytes;
import yewjunction.common.MessageCodec;

/**
 * The bytes of the messages about admission, of stored messages and of the store's snapshot are
 * those of release 0.1.0; a message's retention and for how long its edge held it came later and
 * stand behind all else.
 */
class StoreWireFormatTest {
  private static BorrowingTerms terms() {
    final BorrowingTerms terms = new BorrowingTerms();
    terms.tenant = "t1";
    terms.ratePerSecond = 1_500;
    terms.bucketDepth = 9_000;
    terms.borrowMax = 7_000;
    terms.repayPpm = 333_333;
    terms.firstTokens = 400;
    return terms;
  }

  static StoredMessage message(final int salt) {
    final StoredMessage message = new StoredMessage();
    message.index = 100L + salt;
    message.topic = "topic." + salt;
    message.client = "client-" + salt;
    message.sequenceNumber = 200L + salt;
    message.body = new byte[] {(byte) salt, 1, 2};
    message.tenant("t1");
    message.logTimeMs = 300L + salt;
    message.termsChange = new BorrowingTerms.TermsChange();
    message.termsChange.version = 400L + salt;
    message.termsChange.terms.add(terms());
    return message;
  }

  @Test
  void messagesKeepTheirBytes() {
    final Map<String, Object> messages = new LinkedHashMap<>();
    final AdmissionMessages.AdmitRequest request = new AdmissionMessages.AdmitRequest();
    request.requestId = 1;
    request.message = message(2);
    request.revoked = true;
    messages.put("70", request);
    final AdmissionMessages.AdmitRequest held = new AdmissionMessages.AdmitRequest();
    held.requestId = 1;
    held.message = message(2);
    held.revoked = true;
    held.heldMs = 650;
    messages.put("70-held", held);
    final AdmissionMessages.AdmitResponse response = new AdmissionMessages.AdmitResponse();
    response.requestId = 3;
    response.outcome = AdmissionMessages.NOT_LEADER;
    messages.put("71", response);
    final MessageCodec codec = new MessageCodec();
    AdmissionMessages.register(codec);
    GoldenBytes.assertUnchanged("store.txt", GoldenBytes.encode(codec, messages));
  }

  @Test
  void storedMessagesAndSnapshotsKeepTheirBytes() {
    final Map<String, byte[]> examples = new LinkedHashMap<>();
    examples.put("message", MessageStore.encode(message(3)));
    final StoredMessage retained = message(3);
    retained.retainFor(34_001);
    examples.put("retained-message", MessageStore.encode(retained));
    final MessageStore store = StoreStateFixture.store();
    StoreStateFixture.apply(store, 1);
    examples.put("snapshot", store.snapshot());
    GoldenBytes.assertUnchanged("store-state.txt", examples);
  }
}
