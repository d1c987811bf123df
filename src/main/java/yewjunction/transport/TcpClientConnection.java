package yewjunction.transport;

import static yewjunction.limits.TransportLimits.INITIAL_CLIENT_BUFFER_BYTES;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Arrays;

/**
 * A client's connection over TCP. Closes itself when either side fails. All calls on the agent's
 * thread.
 */
public final class TcpClientConnection implements ClientConnection, EventLoopAgent.ReadyHandler {
  private final EventLoopAgent agent;
  private final SocketChannel channel;
  private final SelectionKey key;
  private final WriteBuffer outbox = new WriteBuffer(INITIAL_CLIENT_BUFFER_BYTES);
  private Handler clientHandler;
  private byte[] input;
  private int filled;
  private boolean flushing;
  private boolean closed;
  private boolean closeAfterFlush;

  private TcpClientConnection(final EventLoopAgent agent, final SocketChannel channel)
      throws IOException {
    this.agent = agent;
    this.channel = channel;
    channel.configureBlocking(false);
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    key = channel.register(agent.selector(), SelectionKey.OP_READ, this);
  }

  /**
   * Takes clients on an address.
   *
   * @throws java.io.UncheckedIOException when it cannot be bound
   */
  public static void listen(
      final EventLoopAgent agent, final InetSocketAddress address, final HandlerFactory handlers) {
    ServerSockets.listen(
        agent,
        address,
        "clients",
        channel -> {
          final TcpClientConnection connection = new TcpClientConnection(agent, channel);
          connection.clientHandler = handlers.newHandler(connection);
        });
  }

  @Override
  public void ready(final SelectionKey readyKey) {
    try {
      if (readyKey.isReadable()) {
        read();
      }
      if (!closed && readyKey.isValid() && readyKey.isWritable()) {
        flush();
      }
    } catch (final IOException failure) {
      close();
    }
  }

  private void read() throws IOException {
    if (input == null) {
      input = new byte[INITIAL_CLIENT_BUFFER_BYTES];
    } else if (filled == input.length) {
      input = Arrays.copyOf(input, input.length * 2);
    }
    final int count = channel.read(ByteBuffer.wrap(input, filled, input.length - filled));
    if (count < 0) {
      close();
      return;
    }
    filled += count;
    final int taken = closeAfterFlush ? filled : clientHandler.onReceived(input, filled);
    filled -= taken;
    if (closed) {
      return;
    }
    if (filled == 0) {
      // An idle connection holds no buffer: there are many of them.
      input = null;
    } else if (taken > 0) {
      System.arraycopy(input, taken, input, 0, filled);
    }
  }

  @Override
  public WriteBuffer out() {
    if (!flushing && !closed) {
      flushing = true;
      agent.flushAtEndOfTurn(this::flush);
    }
    return outbox;
  }

  @Override
  public int queuedBytes() {
    return outbox.size();
  }

  private void flush() {
    flushing = false;
    if (closed) {
      return;
    }
    try {
      final boolean done = outbox.write(channel);
      if (done && closeAfterFlush) {
        close();
        return;
      }
      final int wanted = done ? SelectionKey.OP_READ : SelectionKey.OP_READ | SelectionKey.OP_WRITE;
      if (key.interestOps() != wanted) {
        key.interestOps(wanted);
      }
    } catch (final IOException failure) {
      close();
    }
  }

  @Override
  public void closeAfterFlush() {
    closeAfterFlush = true;
    out();
  }

  @Override
  public boolean isOpen() {
    return !closed;
  }

  @Override
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    key.cancel();
    try {
      channel.close();
    } catch (final IOException ignored) {
      // Nothing is owed to a line that is being given up.
    }
    clientHandler.onClosed();
  }
}
