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
 * yewjunction.ledger.StoredDataFixture FOLDER}.
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
      final Path folder, final String name, final StateMachine machine, final List<byte[]> commands)
      throws IOException {
    final RaftStorage archive = open(folder, name);
    archive.saveIdentity(IDENTITY, () -> {});
    archive.saveVote(3, "10.0.0.5:7000#y", () -> {});
    archive.log.reset(0, 0, FIRST_VOTERS);
    archive.rewrite(0, machine.snapshot(), () -> {});
    long index = 0;
    final int inSnapshot = commands.size() / 2;
    for (final byte[] command : commands.subList(0, inSnapshot)) {
      archive.append(List.of(new LogEntry(++index, 3, LogEntry.DATA, command)), () -> {});
      machine.apply(index, command);
    }
    archive.saveVote(4, IDENTITY, () -> {});
    archive.append(List.of(new LogEntry(index + 1, 3, LogEntry.DATA, new byte[] {1})), () -> {});
    archive.cutFrom(index + 1);
    archive.log.dropTo(index - 1);
    archive.rewrite(index, machine.snapshot(), () -> {});
    for (final byte[] command : commands.subList(inSnapshot, commands.size())) {
      archive.append(List.of(new LogEntry(++index, 4, LogEntry.DATA, command)), () -> {});
    }
    archive.append(
        List.of(new LogEntry(++index, 4, LogEntry.VOTERS, RaftStorage.votersData(LAST_VOTERS))),
        () -> {});
    archive.append(List.of(new LogEntry(++index, 5, LogEntry.NOTHING, new byte[0])), () -> {});
    final Path file = folder.resolve(name);
    final long length = Files.size(file);
    final byte[] torn = LogRecord.wrapBody(3, new byte[] {1, 2, 3}, length);
    Files.write(file, Arrays.copyOf(torn, TORN_BYTES), StandardOpenOption.APPEND);
  }

  static RaftStorage open(final Path folder, final String name) {
    return new RaftStorage(
        new AppendOnlyFile(
            new LocalDisk(folder),
            (blocking, afterwards) -> {
              blocking.run();
              afterwards.run();
            },
            name));
  }
}
