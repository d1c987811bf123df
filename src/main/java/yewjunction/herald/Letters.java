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
            .know(94, Taken.class).know(95, Word.class).know(96, Cloth.class).know(97, Gauge.class)
            .know(98, Match.class).know(99, Tally.class).know(100, Tallied.class).know(101, Further.class);
    }

    /** An edge asks a vault to be its home, from the last index it has processed; -1 for a fresh one. */
    static final class Attach {
        long replica;
        String node = "";
        long last;
        /** The digest of the edge's own part of the set, which came just before. */
        long mark;
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
        long request;
        String topic = "";
        String client = "";
        long instance;
        /** Messages behind this are wanted; -1 for new ones only. */
        long position;
    }

    static final class Taken {
        long request;
        boolean expired;
        long position;
        List<Message> messages = new ArrayList<>();
        /** There is more up to the position: to be asked for. */
        boolean more;
    }

    /** Asks for the next piece of a topic's older messages, behind one index and up to another. */
    static final class Further {
        long request;
        String topic = "";
        long after;
        long upTo;
    }

    /** An edge is still there. */
    static final class Word {
        long last;
    }

    /** Whole states of some parts of the set. */
    static final class Cloth {
        byte[] state = new byte[0];
        /** The digest of the sending edge's own part; 0 from others. */
        long mark;
    }

    /** Digests of what the sender holds: asks for the parts that differ. */
    static final class Gauge {
        byte[] marks = new byte[0];
        /** Cells that the answer may carry, about. */
        int mostCells;
        /** Whether the sender answers in kind. */
        boolean mutual;
        /** Only the parts of the receiver's own edges are asked for: others have theirs from elsewhere. */
        Boolean own;
    }

    /** The answer to a gauge: parts that differ, and which of the asker's are wanted. */
    static final class Match {
        byte[] state = new byte[0];
        List<Long> wanted = new ArrayList<>();
    }

    /** A client of the edge asks how many subscribe a topic. */
    static final class Tally {
        long request;
        String topic = "";
    }

    static final class Tallied {
        long request;
        int count;
    }
}
