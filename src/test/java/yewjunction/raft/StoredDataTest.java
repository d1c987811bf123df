package yewjunction.raft;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import yewjunction.control.ControlStateFixture;
import yewjunction.store.StoreStateFixture;

/** Data folders that release 0.1.0 wrote are opened with every fact in them. */
class StoredDataTest {
  @TempDir Path folder;

  private void opens(
      final String node,
      final String name,
      final StateMachine stateMachine,
      final List<byte[]> commands,
      final Consumer<StateMachine> complete)
      throws IOException {
    final Path file = folder.resolve(name);
    Files.copy(Path.of("src/test/resources/stored-data", node, name), file);
    final long written = Files.size(file);
    final StorageInspection health = StorageInspection.inspect(folder).get(0);
    assertFalse(health.damaged());
    assertEquals(written - StoredDataFixture.TORN_BYTES, health.validBytes());

    final RaftStorage storage = StoredDataFixture.open(folder, name);
    assertEquals(written - StoredDataFixture.TORN_BYTES, Files.size(file));
    assertEquals(StoredDataFixture.IDENTITY, storage.identity());
    assertEquals(4, storage.term());
    assertEquals(StoredDataFixture.IDENTITY, storage.votedFor());
    final int inSnapshot = commands.size() / 2;
    final RaftLog log = storage.log();
    assertEquals(inSnapshot, storage.snapshotIndex());
    assertEquals(inSnapshot - 1, log.snapshotIndex());
    assertEquals(3, log.termAt(log.snapshotIndex()));
    assertEquals(commands.size() + 2, log.lastIndex());
    assertEquals(5, log.lastTerm());
    assertEquals(StoredDataFixture.FIRST_VOTERS, log.votersAt(commands.size()));
    assertEquals(StoredDataFixture.LAST_VOTERS, log.votersAt(log.lastIndex()));
    assertEquals(LogEntry.VOTERS, log.get(commands.size() + 1).kind);
    assertEquals(LogEntry.NO_OP, log.get(commands.size() + 2).kind);

    stateMachine.restore(storage.snapshotIndex(), storage.takeSnapshotState());
    for (int index = inSnapshot + 1; index <= commands.size(); index++) {
      final LogEntry entry = log.get(index);
      assertEquals(LogEntry.DATA, entry.kind);
      assertEquals(4, entry.term);
      assertArrayEquals(commands.get(index - 1), entry.data);
      stateMachine.apply(index, entry.data);
    }
    complete.accept(stateMachine);
  }

  @Test
  void aControlNodesFolder() throws IOException {
    opens(
        "control",
        "charter",
        ControlStateFixture.machine(),
        ControlStateFixture.commands(),
        ControlStateFixture::assertComplete);
  }

  @Test
  void aStoreNodesFolder() throws IOException {
    opens(
        "store",
        "messages",
        StoreStateFixture.machine(),
        StoreStateFixture.commands(),
        StoreStateFixture::assertComplete);
  }
}
