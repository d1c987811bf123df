package yewjunction.vault;

import yewjunction.base.Codec;

/** What edges and the leading vault say to one another about new messages. */
public final class Letters {
    private Letters() {
    }

    public static final int ACCEPTED = 1;
    /** A promise: this number is not accepted and never will be. */
    public static final int DENIED = 2;
    /** Not the leader: nothing was done here. */
    public static final int ELSEWHERE = 3;

    public static void know(final Codec codec) {
        codec.know(70, Admit.class).know(71, Verdict.class);
    }

    public static final class Admit {
        public long request;
        public Message message;
        /** Not to be accepted any more: asks for the leader's promise that it never will be, or for its word that it was. */
        public Boolean revoked;
    }

    public static final class Verdict {
        public long request;
        public int what;
    }
}
