package yewjunction.raft;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;
import yewjunction.common.ErrorCode;
import yewjunction.common.YewjunctionException;
import yewjunction.simulation.SimulatedDisk;

/** Records on disk under torn tails, damage and rewrites. */
class LogRecordTest {
  private static byte[] file(final int count, final boolean synced) {
    final ByteArrayOutputStream file = new ByteArrayOutputStream();
    for (int i = 0; i < count; i++) {
      file.writeBytes(LogRecord.encode(3, ("body " + i).getBytes(), synced ? file.size() : 0));
    }
    return file.toByteArray();
  }

  @Test
  void everyTornTailIsCutAtTheLastWholeRecord() {
    final byte[] whole = file(5, true);
    final int oneLength = whole.length / 5;
    for (int length = 0; length <= whole.length; length++) {
      final LogRecord.ScanResult reading = LogRecord.scan(Arrays.copyOf(whole, length));
      assertEquals(length / oneLength, reading.records().size(), "length " + length);
      assertEquals(length / oneLength * oneLength, reading.validBytes());
      assertFalse(reading.damaged());
    }
  }

  @Test
  void aBadRecordBeforeOnesWrittenAfterItsSyncIsDamage() {
    final Random random = new Random(1);
    for (int attempt = 0; attempt < 200; attempt++) {
      final byte[] bytes = file(6, true);
      bytes[random.nextInt(bytes.length / 6 * 4)] ^= 1 << random.nextInt(8);
      assertTrue(LogRecord.scan(bytes).damaged(), "attempt " + attempt);
    }
  }

  @Test
  void aHoleInTheUnsyncedTailIsNoDamage() {
    final byte[] bytes = file(6, false);
    final int oneLength = bytes.length / 6;
    Arrays.fill(bytes, 3 * oneLength, 4 * oneLength, (byte) 0);
    final LogRecord.ScanResult reading = LogRecord.scan(bytes);
    assertFalse(reading.damaged());
    assertEquals(3, reading.records().size());
    assertArrayEquals("body 2".getBytes(), reading.records().get(2).body());
  }

  @Test
  void aDamagedFileIsNotOpened() {
    final SimulatedDisk disk = new SimulatedDisk();
    final byte[] bytes = file(6, true);
    disk.replace("x", bytes);
    disk.damage("x", 20);
    final AppendOnlyFile file =
        new AppendOnlyFile(disk, (blocking, continuation) -> blocking.run(), "x");
    assertEquals(
        ErrorCode.STORAGE_DAMAGED, assertThrows(YewjunctionException.class, file::open).code());
  }

  @Test
  void aRewriteStandsForAllBeforeItAndKeepsWhatComesAfter() {
    final SimulatedDisk disk = new SimulatedDisk();
    final java.util.ArrayDeque<Runnable> work = new java.util.ArrayDeque<>();
    final AppendOnlyFile file =
        new AppendOnlyFile(
            disk,
            (blocking, continuation) ->
                work.add(
                    () -> {
                      blocking.run();
                      continuation.run();
                    }),
            "x");
    file.open();
    final int[] synced = new int[1];
    file.append(1, new byte[] {1}, () -> synced[0]++);
    file.append(1, new byte[] {2}, () -> synced[0]++);
    file.rewrite(java.util.List.of(new LogRecord.Content(1, new byte[] {9})), () -> synced[0]++);
    file.append(1, new byte[] {3}, () -> synced[0]++);
    while (!work.isEmpty()) {
      work.poll().run();
    }
    assertEquals(4, synced[0]);
    final AppendOnlyFile again = new AppendOnlyFile(disk, (blocking, continuation) -> {}, "x");
    assertEquals(
        java.util.List.of(9, 3),
        again.open().stream().map(piece -> (int) piece.body()[0]).toList());
  }
}
