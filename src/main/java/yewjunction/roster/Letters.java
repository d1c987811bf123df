package yewjunction.roster;

import java.util.ArrayList;
import java.util.List;
import yewjunction.base.Codec;

/** What rosters say to one another, in datagrams. */
public final class Letters {
    private Letters() {
    }

    public static void know(final Codec codec) {
        codec.know(30, Probe.class).know(31, Echo.class).know(32, Detour.class).know(33, Hail.class).know(34, Crew.class);
    }

    abstract static class Letter {
        Peer self;
        List<Peer> news = new ArrayList<>();
    }

    static final class Probe extends Letter {
        long number;
    }

    static final class Echo extends Letter {
        long number;
    }

    /** Asks the receiver for a second opinion about the target. */
    static final class Detour extends Letter {
        long number;
        String target;
    }

    /** A newcomer asks for the whole crew. */
    static final class Hail extends Letter {
        /** Of all that the sender knows, itself included: who knows the same need not tell it. */
        long digest;
    }

    static final class Crew extends Letter {
    }
}
