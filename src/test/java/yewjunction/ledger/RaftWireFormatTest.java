package yewjunction.ledger;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import yewjunction.base.Codec;
import yewjunction.base.GoldenBytes;

/** The bytes of every message between members of a group, and of every record on disk, are those of release 0.1.0. */
class RaftWireFormatTest {
    private static <T extends Letters.Letter> T headed(final T message, final int salt) {
        message.group = 1 + salt;
        message.from = "10.0.0." + salt + ":7000#ab" + salt;
        message.to = 1_000_003L + salt;
        message.term = 70L + salt;
        return message;
    }

    private static List<Entry> entries() {
        return List.of(new Entry(101, 7, Entry.DATA, new byte[] {1, 2, 3}), new Entry(102, 8, Entry.VOTERS, Archive.votersData(List.of("a:1#x", "b:2#y"))),
            new Entry(103, 9, Entry.NOTHING, new byte[0]));
    }

    static Map<String, Object> messages() {
        final Map<String, Object> messages = new LinkedHashMap<>();
        final Letters.Ask ask = headed(new Letters.Ask(), 1);
        ask.pre = true;
        ask.handedOver = false;
        ask.lastIndex = 501;
        ask.lastTerm = 12;
        messages.put("10", ask);
        final Letters.AskAnswer askAnswer = headed(new Letters.AskAnswer(), 2);
        askAnswer.pre = true;
        askAnswer.granted = false;
        messages.put("11", askAnswer);
        final Letters.Append append = headed(new Letters.Append(), 3);
        append.prevIndex = 100;
        append.prevTerm = 6;
        append.commit = 99;
        append.round = 41;
        append.quiet = true;
        append.entries = entries();
        append.relay = "10.0.0.9:7000#zz";
        messages.put("12", append);
        final Letters.AppendAnswer appendAnswer = headed(new Letters.AppendAnswer(), 4);
        appendAnswer.accepted = true;
        appendAnswer.match = 777;
        appendAnswer.round = 42;
        messages.put("13", appendAnswer);
        final Letters.Image image = headed(new Letters.Image(), 5);
        image.lastIndex = 1000;
        image.lastTerm = 13;
        image.voters = List.of("a:1#x", "b:2#y", "c:3#z");
        image.offset = 64;
        image.length = 4096;
        image.piece = new byte[] {9, 8, 7};
        image.number = 21;
        image.attempt = 3;
        messages.put("14", image);
        messages.put("15", headed(new Letters.HandOver(), 6));
        final Letters.Join join = headed(new Letters.Join(), 7);
        join.wantsVote = true;
        join.passedOn = true;
        join.leaves = false;
        messages.put("16", join);
        final Letters.ImageAnswer imageAnswer = headed(new Letters.ImageAnswer(), 8);
        imageAnswer.lastIndex = 1001;
        imageAnswer.held = 128;
        imageAnswer.number = 22;
        imageAnswer.attempt = 4;
        messages.put("17", imageAnswer);
        final Letters.Fetch fetch = headed(new Letters.Fetch(), 9);
        fetch.next = 104;
        fetch.lastTerm = 9;
        messages.put("18", fetch);
        final Letters.Fetched fetched = headed(new Letters.Fetched(), 10);
        fetched.prevIndex = 100;
        fetched.prevTerm = 6;
        fetched.entries = entries();
        messages.put("19", fetched);
        return messages;
    }

    @Test
    void messagesKeepTheirBytes() {
        final Codec codec = new Codec();
        Letters.know(codec);
        GoldenBytes.assertUnchanged("raft.txt", GoldenBytes.encode(codec, messages()));
    }

    @Test
    void recordsKeepTheirBytes() {
        final Map<String, byte[]> records = new LinkedHashMap<>();
        for (int kind = 1; kind <= 5; kind++) {
            records.put("record-" + kind, Record.wrapBody(kind, new byte[] {(byte) kind, 2, 3}, 1_000 + kind));
        }
        GoldenBytes.assertUnchanged("records.txt", records);
    }
}
