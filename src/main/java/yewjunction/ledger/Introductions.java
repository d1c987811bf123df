package yewjunction.ledger;

import java.util.HashMap;
import java.util.Map;
import yewjunction.base.Link;

/**
 * Who speaks on a link, and to whom: said with its first letter and left out of the later ones, since most letters cross
 * zones and are hardly longer than two identities. A link loses nothing and ends with either process.
 */
final class Introductions {
    private final Ledger ledger;
    /** To whom the last letter sent on a link was. */
    private final Map<Link, Long> told = new HashMap<>();
    /** Who speaks to this member on a link. */
    private final Map<Link, String> speakers = new HashMap<>();

    Introductions(final Ledger ledger) {
        this.ledger = ledger;
    }

    /** The letter may be changed: it is on its way now. */
    boolean send(final Link link, final Letters.Letter letter) {
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
    boolean heard(final Link link, final Letters.Letter letter) {
        if (letter.from == null) {
            letter.from = speakers.get(link);
            return letter.from != null;
        }
        if (letter.to == 0) {
            return true;
        }
        // An identity whose disk is gone: neither this letter nor those that follow it are for this member.
        final boolean own = letter.to == Letters.shortened(ledger.identity());
        if (own) {
            speakers.put(link, letter.from);
        } else {
            speakers.remove(link);
        }
        return own;
    }

    void closed(final Link link) {
        told.remove(link);
        speakers.remove(link);
    }
}
