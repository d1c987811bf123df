package yewjunction.ledger;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.List;
import yewjunction.ledger.Letters.Image;
import yewjunction.ledger.Letters.ImageAnswer;

import static yewjunction.base.Limits.APPEND_AGAIN_MS;
import static yewjunction.base.Limits.IMAGE_PIECE_BYTES;

/** Snapshots on their way: from a leader in bounded pieces, each after the answer to the one before. */
final class Images {
    private final Ledger ledger;
    private final Leading leading;
    private final Map<String, Sending> sendings = new HashMap<>();
    private Receiving receiving;

    /** One snapshot for one peer. */
    private record Sending(long lastIndex, long lastTerm, List<String> voters, byte[] state) {
    }

    /** The pieces that have come. */
    private static final class Receiving {
        String from;
        long term;
        long lastIndex;
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    }

    Images(final Ledger ledger, final Leading leading) {
        this.ledger = ledger;
        this.leading = leading;
    }

    void drop() {
        sendings.clear();
    }

    /** Begins, or asks again with the first piece when nothing was answered for a while. */
    void send(final String identity, final Standing standing, final long nowMs) {
        if (nowMs - standing.sentMs < 2 * APPEND_AGAIN_MS) {
            return;
        }
        final long applied = ledger.applied();
        final Sending sending = new Sending(applied, ledger.log.termAt(applied), ledger.log.votersAt(applied), ledger.course.image());
        sendings.put(identity, sending);
        piece(identity, standing, sending, 0, nowMs);
    }

    private void piece(final String identity, final Standing standing, final Sending sending, final int offset, final long nowMs) {
        standing.sentMs = nowMs;
        final Image image = new Image();
        image.lastIndex = sending.lastIndex;
        image.lastTerm = sending.lastTerm;
        image.voters = sending.voters;
        image.offset = offset;
        image.length = sending.state.length;
        image.piece = Arrays.copyOfRange(sending.state, offset, Math.min(offset + IMAGE_PIECE_BYTES, sending.state.length));
        ledger.sendTo(identity, image);
    }

    void answered(final ImageAnswer answer) {
        final Standing standing = leading.standings.get(answer.from);
        final Sending sending = sendings.get(answer.from);
        if (ledger.leadsTerm() && standing != null && sending != null && sending.lastIndex == answer.lastIndex) {
            standing.heardMs = ledger.pulse.nowMs();
            if (answer.held >= sending.state.length) {
                // The rest is the ledger's: the peer answers once it has the whole on disk.
                sendings.remove(answer.from);
            } else {
                piece(answer.from, standing, sending, answer.held, standing.heardMs);
            }
        }
    }

    /** Takes a piece; the whole state once the last one is there, else null. */
    byte[] taken(final Image image) {
        if (receiving == null || !receiving.from.equals(image.from) || receiving.term != image.term
            || receiving.lastIndex != image.lastIndex) {
            receiving = new Receiving();
            receiving.from = image.from;
            receiving.term = image.term;
            receiving.lastIndex = image.lastIndex;
        }
        // One that was lost with a link leaves a gap: the answer names what is missing.
        if (image.offset == receiving.bytes.size()) {
            receiving.bytes.writeBytes(image.piece);
        }
        final ImageAnswer answer = ledger.addressed(new ImageAnswer(), image.from);
        answer.lastIndex = image.lastIndex;
        answer.held = receiving.bytes.size();
        ledger.sendTo(image.from, answer);
        if (receiving.bytes.size() < image.length) {
            return null;
        }
        final byte[] state = receiving.bytes.toByteArray();
        receiving = null;
        return state;
    }
}
