package yewjunction.charter;

import static java.util.Objects.requireNonNull;

/**
 * What a look at the state says to an operator's call. Beside: to be worked out off the owner's thread before the next
 * look. Deed: to be agreed on first; then that is done, and this is the answer. Fact: see there.
 */
record Verdict(Desk.Answer answer, boolean fact, Runnable beside, Deed deed, Runnable done) {
    /** True whatever else is agreed on meanwhile: it depends on the request alone, or stays so once it is so. */
    static Verdict lasting(final Desk.Answer answer) {
        return new Verdict(answer, false, null, null, null);
    }

    /** True of this member's state; told only by a leader that a majority has confirmed after the call came. */
    static Verdict fact(final Desk.Answer answer) {
        return new Verdict(answer, true, null, null, null);
    }

    static Verdict beside(final Runnable work) {
        return new Verdict(null, false, work, null, null);
    }

    static Verdict agree(final Deed deed, final Desk.Answer answer, final Runnable done) {
        // Without a deed the answer would be a promise of nothing.
        return new Verdict(answer, false, null, requireNonNull(deed), done);
    }
}
