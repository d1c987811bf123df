package yewjunction.transport;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.util.function.BiConsumer;
import yewjunction.common.MessageCodec;
import yewjunction.common.YewjunctionException;

/** Datagrams between nodes, one message each. All calls on the agent's thread. */
public final class UdpTransport {
  /** Bytes: above any datagram that the membership list sends. */
  private static final int MAX_DATAGRAM_BYTES = 8 << 10;

  private final DatagramChannel channel;
  private final MessageCodec codec;
  private final ByteBuffer input = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
  private BiConsumer<String, Object> handler = (from, message) -> {};

  /**
   * Binds the address.
   *
   * @throws java.io.UncheckedIOException when it cannot be bound
   */
  public UdpTransport(
      final EventLoopAgent agent, final MessageCodec codec, final InetSocketAddress own) {
    this.codec = codec;
    try {
      channel = DatagramChannel.open();
      channel.bind(own);
      channel.configureBlocking(false);
      channel.register(
          agent.selector(), SelectionKey.OP_READ, (EventLoopAgent.ReadyHandler) key -> read());
    } catch (final IOException failure) {
      throw new UncheckedIOException("cannot listen for probes on " + own, failure);
    }
  }

  /** Sets the handler, which gets the sender's address and the message. */
  public void onMessage(final BiConsumer<String, Object> newHandler) {
    handler = newHandler;
  }

  /** Sends a datagram; it may be lost without a sign. */
  public void send(final String address, final Object message) {
    try {
      channel.send(ByteBuffer.wrap(codec.encode(message)), SocketAddresses.parse(address));
    } catch (final IOException ignored) {
      // A datagram may be lost anyway; the protocol above repeats it.
    }
  }

  private void read() throws IOException {
    InetSocketAddress from;
    while (true) {
      input.clear();
      try {
        from = (InetSocketAddress) channel.receive(input);
      } catch (final java.net.PortUnreachableException ignored) {
        return;
      }
      if (from == null) {
        return;
      }
      final Object message;
      try {
        message = codec.decode(input.array(), 0, input.position());
      } catch (final YewjunctionException ignored) {
        // Anyone may send a datagram: what cannot be read is dropped.
        continue;
      }
      handler.accept(SocketAddresses.text(from), message);
    }
  }
}
