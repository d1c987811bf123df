package yewjunction.raft;

import java.util.HashMap;
import java.util.Map;
import yewjunction.common.PeerConnection;

/**
 * The sender and the receiver of a connection: sent with its first message and left out of the
 * later ones, since most messages cross zones and are hardly longer than two identities. A
 * connection loses nothing and ends with either process.
 *
 * <p>Owned by {@link RaftNode}; all calls on the agent's thread.
 */
final class ConnectionHandshakes {
  private final RaftNode raftNode;

  /** The receiver that the last message on a connection named. */
  private final Map<PeerConnection, Long> announcedReceivers = new HashMap<>();

  /** The sender that the last message on a connection named. */
  private final Map<PeerConnection, String> senders = new HashMap<>();

  ConnectionHandshakes(final RaftNode raftNode) {
    this.raftNode = raftNode;
  }

  /**
   * Sends a message, without sender and receiver where the connection has said both; the message
   * object is changed.
   */
  boolean send(final PeerConnection connection, final RaftMessages.RaftMessage message) {
    if (message.to != 0) {
      final Long before = announcedReceivers.put(connection, message.to);
      if (before != null && before == message.to) {
        message.from = null;
        message.to = 0;
      }
    }
    return connection.send(message);
  }

  /** Whether a message is for this member; if so, its sender is filled in. */
  boolean accept(final PeerConnection connection, final RaftMessages.RaftMessage message) {
    if (message.from == null) {
      message.from = senders.get(connection);
      return message.from != null;
    }
    if (message.to == 0) {
      return true;
    }
    // For an identity whose disk is gone: neither this message nor those that follow it on the
    // connection are for this member.
    final boolean own = message.to == RaftMessages.identityHash(raftNode.identity());
    if (own) {
      senders.put(connection, message.from);
    } else {
      senders.remove(connection);
    }
    return own;
  }

  void onClose(final PeerConnection connection) {
    announcedReceivers.remove(connection);
    senders.remove(connection);
  }
}
