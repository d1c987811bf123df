package yewjunction.fanout;

import java.util.ArrayList;
import java.util.Collections;
import yewjunction.fanout.FanoutMessages.StreamBatch;

/** Plants a fault: a home that sends two messages the wrong way round. */
public final class SwappedMessages {
  private SwappedMessages() {}

  /**
   * Swaps the first neighbours of which the earlier begins with one text and the later with the
   * other.
   */
  public static boolean swap(final Object letter, final String earlier, final String later) {
    if (letter instanceof StreamBatch flow) {
      flow.messages = new ArrayList<>(flow.messages);
      for (int at = 1; at < flow.messages.size(); at++) {
        if (flow.messages.get(at - 1).topic.startsWith(earlier)
            && flow.messages.get(at).topic.startsWith(later)) {
          Collections.swap(flow.messages, at - 1, at);
          return true;
        }
      }
    }
    return false;
  }
}
