package yewjunction.raft;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import yewjunction.control.ControlStateFixture;
import yewjunction.store.StoreStateFixture;

/**
 * Writes the data folders of a control node and of a store node: an identity, votes, entries, a
 * cut, a file rewritten with a snapshot, entries behind it, a change of voters, and a torn tail.
 * Those under src/test/resources/stored-data were written by release 0.1.0 (revision 268ab92) with
 * {@code mvn -q test-compile && java -cp target/test-classes:target/classes:$CLASSPATH
 * yewjunction.log.StoredDataFixture FOLDER}.
 */
final class StoredDataFixture {
  static final String IDENTITY = "10.0.0.4:7000#x";
  static final List<String> FIRST_VOTERS = List.of(IDENTITY, "10.0.0.5:7000#y", "10.0.0.6:7000#z");
  static final List<String> LAST_VOTERS = List.of(IDENTITY, "10.0.0.5:7000#y", "10.0.0.7:7000#w");

  /** Of the last record, which tore. */
  static final int TORN_BYTES = 9;

  private StoredDataFixture() {}

  public static void main(final String[] arguments) throws IOException {
    final Path folder = Path.of(arguments[0]);
    write(
        folder.resolve("control"),
        "charter",
        ControlStateFixture.machine(),
        ControlStateFixture.commands());
    write(
        folder.resolve("store"),
        "messages",
        StoreStateFixture.machine(),
        StoreStateFixture.commands());
  }

  private static void write(
      final Path folder,
      final String name,
      final StateMachine stateMachine,
      final List<byte[]> commands)
      throws IOException {
    final RaftStorage storage = open(folder, name);
    storage.saveIdentity(IDENTITY, () -> {});
    storage.saveVote(3, "10.0.0.5:7000#y", () -> {});
    storage.log().reset(0, 0, FIRST_VOTERS);
    storage.rewrite(0, stateMachine.snapshot(), () -> {});
    long index = 0;
    final int inSnapshot = commands.size() / 2;
    for (final byte[] command : commands.subList(0, inSnapshot)) {
      storage.append(List.of(new LogEntry(++index, 3, LogEntry.DATA, command)), () -> {});
      stateMachine.apply(index, command);
    }
    storage.saveVote(4, IDENTITY, () -> {});
    storage.append(List.of(new LogEntry(index + 1, 3, LogEntry.DATA, new byte[] {1})), () -> {});
    storage.truncateFrom(index + 1);
    storage.log().discardThrough(index - 1);
    storage.rewrite(index, stateMachine.snapshot(), () -> {});
    for (final byte[] command : commands.subList(inSnapshot, commands.size())) {
      storage.append(List.of(new LogEntry(++index, 4, LogEntry.DATA, command)), () -> {});
    }
    storage.append(
        List.of(new LogEntry(++index, 4, LogEntry.VOTERS, RaftStorage.encodeVoters(LAST_VOTERS))),
        () -> {});
    storage.append(List.of(new LogEntry(++index, 5, LogEntry.NO_OP, new byte[0])), () -> {});
    final Path file = folder.resolve(name);
    final long length = Files.size(file);
    final byte[] torn = LogRecord.encode(3, new byte[] {1, 2, 3}, length);
    Files.write(file, Arrays.copyOf(torn, TORN_BYTES), StandardOpenOption.APPEND);
  }

  static RaftStorage open(final Path folder, final String name) {
    return new RaftStorage(
        new AppendOnlyFile(
            new LocalDisk(folder),
            (blocking, continuation) -> {
              blocking.run();
              continuation.run();
            },
            name));
  }
}
