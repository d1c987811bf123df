package yewjunction.transport;

import static yewjunction.common.ErrorCode.CONNECTION_GARBLED;
import static yewjunction.common.ErrorCode.MESSAGE_UNKNOWN;
import static yewjunction.limits.TransportLimits.CONNECTION_HEARTBEAT_INTERVAL_MS;
import static yewjunction.limits.TransportLimits.CONNECTION_TIMEOUT_MS;
import static yewjunction.limits.TransportLimits.CONNECT_TIMEOUT_MS;
import static yewjunction.limits.TransportLimits.INITIAL_PEER_BUFFER_BYTES;
import static yewjunction.limits.TransportLimits.MAX_MESSAGE_BYTES;
import static yewjunction.limits.TransportLimits.MAX_PEER_QUEUE_BYTES;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import yewjunction.common.LogEvent;
import yewjunction.common.MessageCodec;
import yewjunction.common.PeerConnection;
import yewjunction.common.YewjunctionException;

/**
 * One TCP connection to another node, in frames of 4 bytes length and a message. What one turn of
 * the agent sends goes out in one write. Owned by {@link TcpPeerTransport}; all calls on the
 * agent's thread.
 */
final class TcpPeerConnection implements PeerConnection, EventLoopAgent.ReadyHandler {
  private final TcpPeerTransport transport;
  private final EventLoopAgent agent;
  private final MessageCodec codec;
  private final SocketChannel channel;
  private final String targetAddress;
  private final WriteBuffer outbox = new WriteBuffer(INITIAL_PEER_BUFFER_BYTES);
  private ByteBuffer input = ByteBuffer.allocate(INITIAL_PEER_BUFFER_BYTES);
  private SelectionKey key;
  private boolean connected;
  private boolean closed;
  private boolean flushing;
  private long lastReceivedMs;
  private long lastSentMs;
  private String remote;

  TcpPeerConnection(
      final TcpPeerTransport owner,
      final EventLoopAgent agent,
      final MessageCodec codec,
      final SocketChannel channel,
      final String targetAddress)
      throws IOException {
    this.transport = owner;
    this.agent = agent;
    this.codec = codec;
    this.channel = channel;
    this.targetAddress = targetAddress;
    lastReceivedMs = agent.nowMs();
    lastSentMs = lastReceivedMs;
    channel.configureBlocking(false);
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    if (targetAddress == null) {
      connected = true;
      remote = SocketAddresses.text((InetSocketAddress) channel.getRemoteAddress());
      key = channel.register(agent.selector(), SelectionKey.OP_READ, this);
    } else {
      remote = targetAddress;
    }
  }

  void connect() throws IOException {
    connected = channel.connect(SocketAddresses.parse(targetAddress));
    key =
        channel.register(
            agent.selector(), connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this);
    agent.schedule(
        CONNECT_TIMEOUT_MS,
        () -> {
          if (!connected) {
            close();
          }
        });
  }

  String targetAddress() {
    return targetAddress;
  }

  @Override
  public boolean send(final Object message) {
    if (closed) {
      return false;
    }
    final byte[] bytes = codec.encode(message);
    outbox.putInt(bytes.length);
    outbox.put(bytes, 0, bytes.length);
    lastSentMs = agent.nowMs();
    // A peer that does not read is disconnected, never waited for.
    if (outbox.size() > MAX_PEER_QUEUE_BYTES) {
      LogEvent.CONNECTION_SLOW.warn(remote);
      close();
      return false;
    }
    flushSoon();
    return true;
  }

  private void flushSoon() {
    if (!flushing) {
      flushing = true;
      agent.flushAtEndOfTurn(this::flush);
    }
  }

  private void flush() {
    flushing = false;
    if (closed || !connected) {
      return;
    }
    try {
      final boolean done = outbox.write(channel);
      key.interestOps(done ? SelectionKey.OP_READ : SelectionKey.OP_READ | SelectionKey.OP_WRITE);
    } catch (final IOException failure) {
      close();
    }
  }

  @Override
  public void ready(final SelectionKey readyKey) {
    try {
      if (readyKey.isConnectable()) {
        channel.finishConnect();
        connected = true;
        lastReceivedMs = agent.nowMs();
        key.interestOps(SelectionKey.OP_READ);
        flushSoon();
      }
      if (readyKey.isValid() && readyKey.isReadable()) {
        read();
      }
      if (!closed && readyKey.isValid() && readyKey.isWritable()) {
        flush();
      }
    } catch (final IOException failure) {
      close();
    } catch (final YewjunctionException failure) {
      LogEvent.CONNECTION_GARBLED.warn(remote + " " + failure.code() + " " + failure.getMessage());
      close();
    }
  }

  private void read() throws IOException {
    final int count = channel.read(input);
    if (count < 0) {
      close();
      return;
    }
    lastReceivedMs = agent.nowMs();
    input.flip();
    int needed = 0;
    while (!closed && input.remaining() >= 4) {
      final int length = input.getInt(input.position());
      if (length < 0 || length > MAX_MESSAGE_BYTES) {
        throw new TransportException(CONNECTION_GARBLED, "length " + length);
      }
      if (input.remaining() < 4 + length) {
        needed = 4 + length;
        break;
      }
      final int start = input.position() + 4;
      input.position(start + length);
      if (length > 0) {
        onFrames(start, length);
      }
    }
    input.compact();
    if (needed > input.capacity()) {
      final ByteBuffer larger = ByteBuffer.allocate(Math.max(needed, input.capacity() * 2));
      input.flip();
      larger.put(input);
      input = larger;
    } else if (input.position() == 0 && input.capacity() > 16 * INITIAL_PEER_BUFFER_BYTES) {
      // After a large message the buffer shrinks again: peak memory is expensive.
      input = ByteBuffer.allocate(INITIAL_PEER_BUFFER_BYTES);
    }
  }

  private void onFrames(final int start, final int length) {
    final Object message;
    try {
      message = codec.decode(input.array(), start, length);
    } catch (final YewjunctionException failure) {
      // A type that this release does not know is skipped, so that releases can mix.
      if (failure.code() == MESSAGE_UNKNOWN) {
        return;
      }
      throw failure;
    }
    transport.deliver(this, message);
  }

  void heartbeat(final long nowMs) {
    if (closed || !connected) {
      return;
    }
    if (nowMs - lastReceivedMs > CONNECTION_TIMEOUT_MS) {
      LogEvent.CONNECTION_LOST.info(remote + " silent");
      close();
    } else if (nowMs - lastSentMs >= CONNECTION_HEARTBEAT_INTERVAL_MS) {
      outbox.putInt(0);
      lastSentMs = nowMs;
      flushSoon();
    }
  }

  @Override
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    if (key != null) {
      key.cancel();
    }
    try {
      channel.close();
    } catch (final IOException ignored) {
      // Nothing is owed to a connection that is being given up.
    }
    transport.onClosed(this);
  }

  @Override
  public boolean isOpen() {
    return !closed;
  }

  @Override
  public String remoteAddress() {
    return remote;
  }
}
