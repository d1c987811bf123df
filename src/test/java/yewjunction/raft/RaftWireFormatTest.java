package yewjunction.raft;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import yewjunction.common.GoldenBytes;
import yewjunction.common.MessageCodec;

/**
 * The bytes of every message between members of a group, and of every record on disk, are those of
 * release 0.1.0.
 */
class RaftWireFormatTest {
  private static <T extends RaftMessages.RaftMessage> T headed(final T message, final int salt) {
    message.group = 1 + salt;
    message.from = "10.0.0." + salt + ":7000#ab" + salt;
    message.to = 1_000_003L + salt;
    message.term = 70L + salt;
    return message;
  }

  private static List<LogEntry> entries() {
    return List.of(
        new LogEntry(101, 7, LogEntry.DATA, new byte[] {1, 2, 3}),
        new LogEntry(102, 8, LogEntry.VOTERS, RaftStorage.encodeVoters(List.of("a:1#x", "b:2#y"))),
        new LogEntry(103, 9, LogEntry.NO_OP, new byte[0]));
  }

  static Map<String, Object> messages() {
    final Map<String, Object> messages = new LinkedHashMap<>();
    putElectionAndReplication(messages);
    putSnapshotsAndMembership(messages);
    putFetches(messages);
    return messages;
  }

  private static void putElectionAndReplication(final Map<String, Object> messages) {
    final RaftMessages.VoteRequest voteRequest = headed(new RaftMessages.VoteRequest(), 1);
    voteRequest.preVote = true;
    voteRequest.leadershipTransfer = false;
    voteRequest.lastIndex = 501;
    voteRequest.lastTerm = 12;
    messages.put("10", voteRequest);
    final RaftMessages.VoteResponse voteResponse = headed(new RaftMessages.VoteResponse(), 2);
    voteResponse.preVote = true;
    voteResponse.granted = false;
    messages.put("11", voteResponse);
    final RaftMessages.AppendEntriesRequest appendRequest =
        headed(new RaftMessages.AppendEntriesRequest(), 3);
    appendRequest.prevIndex = 100;
    appendRequest.prevTerm = 6;
    appendRequest.commitIndex = 99;
    appendRequest.round = 41;
    appendRequest.responseOptional = true;
    appendRequest.entries = entries();
    appendRequest.relayAddress = "10.0.0.9:7000#zz";
    messages.put("12", appendRequest);
    final RaftMessages.AppendEntriesResponse appendResponse =
        headed(new RaftMessages.AppendEntriesResponse(), 4);
    appendResponse.accepted = true;
    appendResponse.matchIndex = 777;
    appendResponse.round = 42;
    messages.put("13", appendResponse);
  }

  private static void putSnapshotsAndMembership(final Map<String, Object> messages) {
    final RaftMessages.InstallSnapshotRequest snapshotRequest =
        headed(new RaftMessages.InstallSnapshotRequest(), 5);
    snapshotRequest.lastIndex = 1000;
    snapshotRequest.lastTerm = 13;
    snapshotRequest.voters = List.of("a:1#x", "b:2#y", "c:3#z");
    snapshotRequest.offset = 64;
    snapshotRequest.totalBytes = 4096;
    snapshotRequest.chunk = new byte[] {9, 8, 7};
    snapshotRequest.snapshotNumber = 21;
    snapshotRequest.attempt = 3;
    messages.put("14", snapshotRequest);
    messages.put("15", headed(new RaftMessages.TimeoutNowRequest(), 6));
    final RaftMessages.JoinRequest joinRequest = headed(new RaftMessages.JoinRequest(), 7);
    joinRequest.wantsVote = true;
    joinRequest.forwarded = true;
    joinRequest.leaving = false;
    messages.put("16", joinRequest);
    final RaftMessages.InstallSnapshotResponse snapshotResponse =
        headed(new RaftMessages.InstallSnapshotResponse(), 8);
    snapshotResponse.lastIndex = 1001;
    snapshotResponse.receivedBytes = 128;
    snapshotResponse.snapshotNumber = 22;
    snapshotResponse.attempt = 4;
    messages.put("17", snapshotResponse);
  }

  private static void putFetches(final Map<String, Object> messages) {
    final RaftMessages.FetchRequest fetchRequest = headed(new RaftMessages.FetchRequest(), 9);
    fetchRequest.nextIndex = 104;
    fetchRequest.lastTerm = 9;
    messages.put("18", fetchRequest);
    final RaftMessages.FetchResponse fetchResponse = headed(new RaftMessages.FetchResponse(), 10);
    fetchResponse.prevIndex = 100;
    fetchResponse.prevTerm = 6;
    fetchResponse.entries = entries();
    messages.put("19", fetchResponse);
  }

  @Test
  void messagesKeepTheirBytes() {
    final MessageCodec codec = new MessageCodec();
    RaftMessages.register(codec);
    GoldenBytes.assertUnchanged("raft.txt", GoldenBytes.encode(codec, messages()));
  }

  @Test
  void recordsKeepTheirBytes() {
    final Map<String, byte[]> records = new LinkedHashMap<>();
    for (int kind = 1; kind <= 5; kind++) {
      records.put(
          "record-" + kind, LogRecord.encode(kind, new byte[] {(byte) kind, 2, 3}, 1_000 + kind));
    }
    GoldenBytes.assertUnchanged("records.txt", records);
  }
}
