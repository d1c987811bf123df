package yewjunction.fanout;

import java.util.ArrayList;
import java.util.Collections;
import yewjunction.fanout.FanoutMessages.StreamBatch;

/** Plants a fault: a serving store that sends two messages the wrong way round. */
public final class SwappedMessages {
  private SwappedMessages() {}

  /**
   * Swaps the first neighbours of which the earlier begins with one text and the later with the
   * other.
   */
  public static boolean swap(final Object message, final String earlier, final String later) {
    if (message instanceof StreamBatch batch) {
      batch.messages = new ArrayList<>(batch.messages);
      for (int at = 1; at < batch.messages.size(); at++) {
        if (batch.messages.get(at - 1).topic.startsWith(earlier)
            && batch.messages.get(at).topic.startsWith(later)) {
          Collections.swap(batch.messages, at - 1, at);
          return true;
        }
      }
    }
    return false;
  }
}
