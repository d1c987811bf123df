package yewjunction.system;

import java.util.ArrayList;
import java.util.List;

/** Cuts what a client hears into whole messages. */
final class FrameSplitter {
  private String text = "";

  /** One message to a client: its header line and its body. */
  record Frame(String[] fields, String body) {}

  List<Frame> feed(final String more) {
    text += more;
    final List<Frame> frames = new ArrayList<>();
    while (true) {
      final int end = text.indexOf("\r\n");
      if (end < 0) {
        return frames;
      }
      final String[] fields = text.substring(0, end).split(" ");
      int taken = end + 2;
      String body = null;
      if (fields[0].equals("MSG")) {
        final int length = Integer.parseInt(fields[5]);
        if (text.length() < taken + length + 2) {
          return frames;
        }
        body = text.substring(taken, taken + length);
        taken += length + 2;
      }
      text = text.substring(taken);
      frames.add(new Frame(fields, body));
    }
  }
}
