package yewjunction.charter;

/** What a look at the state says to an operator's call. */
record Verdict(Desk.Answer answer, boolean fact, Deed deed) {
    /** True whatever else is agreed on meanwhile: it depends on the request alone, or stays so once it is so. */
    static Verdict lasting(final Desk.Answer answer) {
        return new Verdict(answer, false, null);
    }

    /** True of this member's state; told only by a leader that a majority has confirmed after the call came. */
    static Verdict fact(final Desk.Answer answer) {
        return new Verdict(answer, true, null);
    }

    /** To be agreed on first; then this is the answer. */
    static Verdict agree(final Deed deed, final Desk.Answer answer) {
        return new Verdict(answer, false, deed);
    }
}
