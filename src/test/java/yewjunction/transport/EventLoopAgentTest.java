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
    final EventLoopAgent agent = new EventLoopAgent(1);
    final List<String> done = new ArrayList<>();
    agent.execute(() -> done.add("first " + deep(0)));
    agent.execute(() -> done.add("second"));
    agent.schedule(
        0,
        () -> {
          throw new IllegalStateException("planted");
        });
    agent.schedule(0, () -> done.add("alarm"));
    agent.doWork();
    assertEquals(List.of("second", "alarm"), done);
  }

  /**
   * A timer that arms itself again behind its work would end for ever with one exception out of a
   * dial.
   */
  @Test
  void whoeverConnectsWithoutADescriptorLeftGetsAConnectionThatBroke() throws IOException {
    final EventLoopAgent agent = new EventLoopAgent(1);
    final TcpPeerTransport transport =
        new TcpPeerTransport(agent, new MessageCodec(), new InetSocketAddress("127.0.0.1", 0)) {
          @Override
          SocketChannel channel() throws IOException {
            throw new IOException("Too many open files");
          }
        };
    final List<PeerConnection> closed = new ArrayList<>();
    transport.onClose(closed::add);
    final List<PeerConnection> opened = new ArrayList<>();
    agent.execute(() -> opened.add(transport.connect("127.0.0.1:9")));
    agent.doWork();
    agent.doWork();
    assertEquals(1, opened.size());
    assertFalse(opened.get(0).isOpen());
    assertFalse(opened.get(0).send("a letter"));
    assertEquals("127.0.0.1:9", opened.get(0).remoteAddress());
    assertEquals(opened, closed);
  }
}
