package yewjunction.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import yewjunction.common.MessageCodec;
import yewjunction.common.PeerConnection;

/** A broken turn takes nothing along that came with it. */
class EventLoopAgentTest {
  private static int deep(final int at) {
    return 1 + deep(at + 1);
  }

  @Test
  void whatNestsTooDeepEndsItsOwnTurnOnly() throws IOException {
    final EventLoopAgent loom = new EventLoopAgent(1);
    final List<String> done = new ArrayList<>();
    loom.post(() -> done.add("first " + deep(0)));
    loom.post(() -> done.add("second"));
    loom.after(
        0,
        () -> {
          throw new IllegalStateException("planted");
        });
    loom.after(0, () -> done.add("alarm"));
    loom.doWork();
    assertEquals(List.of("second", "alarm"), done);
  }

  /**
   * A timer that arms itself again behind its work would end for ever with one exception out of a
   * dial.
   */
  @Test
  void whoeverDialsWithoutADescriptorLeftGetsALinkThatBroke() throws IOException {
    final EventLoopAgent loom = new EventLoopAgent(1);
    final TcpPeerTransport wires =
        new TcpPeerTransport(loom, new MessageCodec(), new InetSocketAddress("127.0.0.1", 0)) {
          @Override
          SocketChannel channel() throws IOException {
            throw new IOException("Too many open files");
          }
        };
    final List<PeerConnection> closed = new ArrayList<>();
    wires.onClose(closed::add);
    final List<PeerConnection> dialled = new ArrayList<>();
    loom.post(() -> dialled.add(wires.dial("127.0.0.1:9")));
    loom.doWork();
    loom.doWork();
    assertEquals(1, dialled.size());
    assertFalse(dialled.get(0).open());
    assertFalse(dialled.get(0).send("a letter"));
    assertEquals("127.0.0.1:9", dialled.get(0).remote());
    assertEquals(dialled, closed);
  }
}
