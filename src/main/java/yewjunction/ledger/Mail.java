package yewjunction.ledger;

import java.util.function.BiConsumer;
import yewjunction.base.Link;
import yewjunction.ledger.Letters.Append;
import yewjunction.ledger.Letters.AppendAnswer;
import yewjunction.ledger.Letters.Ask;
import yewjunction.ledger.Letters.AskAnswer;
import yewjunction.ledger.Letters.Fetch;
import yewjunction.ledger.Letters.Fetched;
import yewjunction.ledger.Letters.HandOver;
import yewjunction.ledger.Letters.Image;
import yewjunction.ledger.Letters.ImageAnswer;
import yewjunction.ledger.Letters.Join;

/** Brings a member the letters that are for it. */
final class Mail {
    private final Ledger ledger;
    private final Following following;
    private final Leading leading;
    private final Election election;

    Mail(final Ledger ledger, final Following following, final Leading leading, final Election election) {
        this.ledger = ledger;
        this.following = following;
        this.leading = leading;
        this.election = election;
    }

    void listen() {
        ledger.post.onClose(ledger::closed);
        on(Fetch.class, ledger.relay::asked);
        on(Fetched.class, (link, fetched) -> ledger.relay.taken(fetched));
        on(Ask.class, following::ask);
        on(AskAnswer.class, (link, answer) -> election.granted(answer));
        on(Append.class, following::append);
        on(AppendAnswer.class, (link, answer) -> leading.answered(answer));
        on(Image.class, following::image);
        on(ImageAnswer.class, (link, answer) -> leading.images.answered(answer));
        on(Join.class, (link, join) -> {
            if (ledger.leadsTerm()) {
                leading.learn(join);
            } else if (join.passedOn == null && ledger.leader() != null) {
                // The newcomer may not know the leader's machine yet; passed on once, so that it never runs in circles.
                join.passedOn = true;
                ledger.post.dial(Ledger.address(ledger.leader())).send(join);
            }
        });
        on(HandOver.class, (link, handOver) -> {
            // Only the leader of this very term may name its follower.
            if (handOver.term == ledger.archive.term) {
                election.stand(true);
            }
        });
    }

    private <T extends Letters.Letter> void on(final Class<T> kind, final BiConsumer<Link, T> handler) {
        ledger.post.on(kind, (link, letter) -> {
            // Another group, or an identity whose disk is gone: not for this member.
            final boolean forThis = letter.group == ledger.group && ledger.identity() != null
                && ledger.introductions.heard(link, letter);
            if (forThis && !ledger.stopped()) {
                handler.accept(link, letter);
            }
        });
    }
}
