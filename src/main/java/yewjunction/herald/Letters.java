package yewjunction.herald;

import java.util.ArrayList;
import java.util.List;
import yewjunction.base.Codec;
import yewjunction.vault.Message;

/** What a home and its edges say to one another. */
public final class Letters {
    private Letters() {
    }

    public static void know(final Codec codec) {
        codec.know(90, Attach.class).know(91, Welcome.class).know(92, Flow.class).know(93, Notice.class)
            .know(94, Taken.class).know(95, Word.class).know(96, Cloth.class);
    }

    /** An edge asks a vault to be its home, from the last index it has processed; -1 for a fresh one. */
    static final class Attach {
        long replica;
        String node = "";
        long last;
    }

    static final class Welcome {
        boolean accepted;
        /** Where the stream starts; above the asked index when older messages are gone. */
        long start;
        String leader = "";
    }

    /** Messages in order between two indices; an edge takes it only when from is where it stands. */
    static final class Flow {
        long from;
        long upTo;
        String leader = "";
        List<Message> messages = new ArrayList<>();
    }

    /** Early word of a new instance of the set, and the subscription it stands for. */
    static final class Notice {
        long errand;
        String topic = "";
        long instance;
        /** Messages behind this are wanted; -1 for new ones only. */
        long position;
    }

    static final class Taken {
        long errand;
        boolean expired;
        long position;
        List<Message> messages = new ArrayList<>();
    }

    /** An edge is still there. */
    static final class Word {
        long last;
    }

    /** A whole state of the set. */
    public static final class Cloth {
        public byte[] state = new byte[0];
        /** Inside a zone: a client asked the sender for a count lately. */
        public boolean counting;
    }
}
