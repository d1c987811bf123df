package yewjunction.dock;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import yewjunction.base.Event;
import yewjunction.charter.Charter;
import yewjunction.loom.Line;
import yewjunction.loom.Outbox;
import yewjunction.vault.Message;

import static yewjunction.base.Limits.CLIENT_QUEUE_BYTES;
import static yewjunction.base.Limits.FRESH_MS;
import static yewjunction.base.Limits.ORDER_DENIED_MS;

/** One client's link: what it has said, what it subscribes, and how answers are written to it. */
final class Berth implements Line.Owner {
    private static final byte[] END = {'\r', '\n'};
    final Line line;
    final Map<String, Sub> subs = new LinkedHashMap<>();
    /** Looks at each message once more before it is written. */
    final Guard guard = new Guard();
    /** When this client's messages to a space were last not accepted. */
    private final Map<String, Long> deniedMs = new HashMap<>(2);
    private final Dock dock;
    private final Words words = new Words();
    String client = "";
    String secret = "";
    long heardMs;
    long greetedMs;
    /** When the newest SUB was read. */
    long subscribedMs;
    private long highestNumber = -1;
    int underWay;
    boolean moved;

    Berth(final Dock dock, final Line line, final long nowMs) {
        this.dock = dock;
        this.line = line;
        heardMs = nowMs;
    }

    /**
     * What may be said of a number that is not sent on. RETRY promises that it never was nor will be: true only of a
     * number's first try. A client brings what it sent on other links right after its greeting, and numbers only rise.
     */
    boolean firstTry(final long number) {
        final boolean first = number > highestNumber && dock.nowMs() - greetedMs > FRESH_MS;
        highestNumber = Math.max(highestNumber, number);
        return first;
    }

    void denied(final Charter.Space space, final long nowMs) {
        if (space != null) {
            deniedMs.put(space.name(), nowMs);
        }
    }

    /** A message of this space was sent, most likely, before its sender heard that one it is to follow was not accepted. */
    boolean bereft(final Charter.Space space, final long nowMs) {
        return space.after().stream().anyMatch(earlier -> nowMs - deniedMs.getOrDefault(earlier, Long.MIN_VALUE / 2) < ORDER_DENIED_MS);
    }

    boolean greeted() {
        return !client.isEmpty();
    }

    @Override
    public int take(final byte[] bytes, final int length) {
        heardMs = dock.nowMs();
        int at = 0;
        while (at < length && line.open()) {
            final int state = words.wrap(bytes, at, length);
            if (state == Words.MORE) {
                break;
            }
            if (state == Words.LOST) {
                lost("BADMSG");
                return length;
            }
            if (state == Words.GOOD) {
                dock.requests().take(this, words);
            } else {
                refuse("PUB", words.text(1), words.count() > 3 ? words.text(2) : "", state == Words.BAD ? "BADMSG" : "TOOBIG");
                if (words.bodyUnread()) {
                    line.closeSoon();
                    return length;
                }
            }
            at = words.end();
        }
        return at;
    }

    private void lost(final String reason) {
        Event.CLIENT_GARBLED.info(client);
        // The word can be told only when it stands there whole.
        if (words.count() > 0 && !words.text(0).isEmpty()) {
            refuse(words.text(0), "", "", reason);
        }
        line.closeSoon();
    }

    @Override
    public void closed() {
        dock.gone(this);
    }

    private static void field(final Outbox out, final String text) {
        out.putAscii(" ");
        out.putAscii(text.isEmpty() ? "-" : text);
    }

    private void done(final Outbox out) {
        out.put(END, 0, 2);
        // A client that reads slowly is cut; it takes up its cursors when it comes back.
        if (line.waiting() > CLIENT_QUEUE_BYTES) {
            Event.CLIENT_SLOW.info(client);
            line.close();
        }
    }

    /** Fields at the end that are empty are left out. */
    void ok(final String about, final String topic, final String position, final String filter) {
        final Outbox out = line.out();
        out.putAscii("OK ");
        out.putAscii(about);
        if (!topic.isEmpty()) {
            field(out, topic);
        }
        if (!position.isEmpty()) {
            field(out, position);
        }
        if (!filter.isEmpty()) {
            field(out, filter);
        }
        done(out);
    }

    void refuse(final String about, final String topic, final String number, final String reason) {
        final Outbox out = line.out();
        out.putAscii("REFUSE ");
        out.putAscii(about);
        field(out, topic);
        field(out, number);
        field(out, reason);
        done(out);
    }

    void ack(final String topic, final long number) {
        final Outbox out = line.out();
        out.putAscii("ACK ");
        out.putAscii(topic);
        out.putAscii(" ");
        out.putNumber(number);
        done(out);
    }

    void count(final String topic, final int number) {
        final Outbox out = line.out();
        out.putAscii("COUNT ");
        out.putAscii(topic);
        out.putAscii(" ");
        out.putNumber(number);
        done(out);
    }

    void plain(final String text) {
        final Outbox out = line.out();
        out.putAscii(text);
        done(out);
    }

    void message(final Message message) {
        final String breach = guard.breach(message, dock.nowMs());
        if (breach != null) {
            // Never written out of place: the client's cursor decides what it gets when it comes back.
            dock.disorders().broken(message.topic, client, breach);
            line.close();
            return;
        }
        final Outbox out = line.out();
        out.putAscii("MSG ");
        out.putAscii(message.topic);
        out.putAscii(" ");
        out.putNumber(message.index);
        out.putAscii(" ");
        out.putAscii(message.client);
        out.putAscii(" ");
        out.putNumber(message.number);
        out.putAscii(" ");
        out.putNumber(message.body.length);
        out.put(END, 0, 2);
        out.put(message.body, 0, message.body.length);
        done(out);
    }
}
