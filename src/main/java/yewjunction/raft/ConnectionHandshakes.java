package yewjunction.raft;

import java.util.HashMap;
import java.util.Map;
import yewjunction.common.PeerConnection;

/**
 * Who speaks on a link, and to whom: said with its first letter and left out of the later ones,
 * since most letters cross zones and are hardly longer than two identities. A link loses nothing
 * and ends with either process.
 */
final class ConnectionHandshakes {
  private final RaftNode ledger;

  /** To whom the last letter sent on a link was. */
  private final Map<PeerConnection, Long> told = new HashMap<>();

  /** Who speaks to this member on a link. */
  private final Map<PeerConnection, String> speakers = new HashMap<>();

  ConnectionHandshakes(final RaftNode ledger) {
    this.ledger = ledger;
  }

  /** The letter may be changed: it is on its way now. */
  boolean send(final PeerConnection link, final RaftMessages.RaftMessage letter) {
    if (letter.to != 0) {
      final Long before = told.put(link, letter.to);
      if (before != null && before == letter.to) {
        letter.from = null;
        letter.to = 0;
      }
    }
    return link.send(letter);
  }

  /** Whether the letter is for this member; its sender stands in it then. */
  boolean heard(final PeerConnection link, final RaftMessages.RaftMessage letter) {
    if (letter.from == null) {
      letter.from = speakers.get(link);
      return letter.from != null;
    }
    if (letter.to == 0) {
      return true;
    }
    // An identity whose disk is gone: neither this letter nor those that follow it are for this
    // member.
    final boolean own = letter.to == RaftMessages.shortened(ledger.identity());
    if (own) {
      speakers.put(link, letter.from);
    } else {
      speakers.remove(link);
    }
    return own;
  }

  void closed(final PeerConnection link) {
    told.remove(link);
    speakers.remove(link);
  }
}
