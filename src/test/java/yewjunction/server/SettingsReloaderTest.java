package yewjunction.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import yewjunction.common.YewjunctionException;

/**
 * Whoever writes the settings file may be at it while it is read: what stands in the end is read in
 * the end.
 */
class SettingsReloaderTest {
  private static final String WHOLE =
      "Nodename: n\nRole: r\nServes: [edge]\nIp: 10.0.0.1\nAz: z\nListen: {Fe: '10.0.0.1:8022', "
          + "Ready: '10.0.0.1:8029'}\nPortRange: [7000, 7015]\nSeeds: ['10.0.0.2:8024', '10.0.0.3:8024']\n";
  private static final FileTime TICK = FileTime.fromMillis(1_700_000_000_000L);
  @TempDir Path folder;

  /** Written within one tick of the file's clock. */
  private void write(final String text) throws IOException {
    Files.setLastModifiedTime(Files.writeString(folder.resolve("settings.yaml"), text), TICK);
  }

  private String later(final String seed) {
    return WHOLE.replace("10.0.0.3:8024", seed);
  }

  /** Reads as often as the process would, and tells what it knows then. */
  private String seedsAfter(final SettingsReloader file, final int looks) {
    return seedsAfter(file, file::shouldReload, looks);
  }

  private static String seedsAfter(
      final SettingsReloader file, final BooleanSupplier due, final int looks) {
    String known = "";
    for (int look = 0; look < looks; look++) {
      if (due.getAsBoolean()) {
        known = file.load().seeds().toString();
      }
    }
    return known;
  }

  @Test
  void whatIsFinishedWithinTheSameTickIsRead() throws IOException {
    final SettingsReloader file = new SettingsReloader(folder.resolve("settings.yaml"));
    write(WHOLE);
    file.load();
    assertFalse(file.shouldReload());
    // First one seed, then another of the same length: neither time nor size tells.
    Files.setLastModifiedTime(
        Files.writeString(folder.resolve("settings.yaml"), later("10.0.0.4:8024")),
        FileTime.fromMillis(TICK.toMillis() + 5));
    assertTrue(file.shouldReload());
    assertTrue(file.load().seeds().contains("10.0.0.4:8024"));
    Files.setLastModifiedTime(
        Files.writeString(folder.resolve("settings.yaml"), later("10.0.0.5:8024")),
        FileTime.fromMillis(TICK.toMillis() + 5));
    assertTrue(seedsAfter(file, 3).contains("10.0.0.5:8024"));
    assertFalse(file.shouldReload());
  }

  /** Planted: the time alone, noted when the file is read. */
  @Test
  void aFileJudgedByItsTimeAloneShows() throws IOException {
    final Path path = folder.resolve("settings.yaml");
    final SettingsReloader file = new SettingsReloader(path);
    write(WHOLE);
    final FileTime read = Files.getLastModifiedTime(path);
    file.load();
    write(WHOLE + "Extra: 1\n");
    assertEquals("", seedsAfter(file, () -> !time(path).equals(read), 3));
    assertTrue(seedsAfter(file, 3).contains("10.0.0.3:8024"));
  }

  private static FileTime time(final Path path) {
    try {
      return Files.getLastModifiedTime(path);
    } catch (final IOException failure) {
      throw new java.io.UncheckedIOException(failure);
    }
  }

  @Test
  void aHalfWrittenFileIsRefusedAndReadOnceItIsWhole() throws IOException {
    final SettingsReloader file = new SettingsReloader(folder.resolve("settings.yaml"));
    write(WHOLE);
    file.load();
    // SIGHUP while the writer is at it.
    write(WHOLE.substring(0, WHOLE.indexOf("PortRange")));
    file.forceNextCheck();
    assertThrows(YewjunctionException.class, file::load);
    write(later("10.0.0.6:8024"));
    assertTrue(seedsAfter(file, 3).contains("10.0.0.6:8024"));
  }

  @Test
  void whatIsWrittenWhileTheProcessStartsShowsAtTheNextLook() throws IOException {
    final SettingsReloader file = new SettingsReloader(folder.resolve("settings.yaml"));
    write(WHOLE);
    file.load();
    Files.writeString(folder.resolve("settings.yaml"), later("10.0.0.7:8024"));
    assertTrue(seedsAfter(file, 1).contains("10.0.0.7:8024"));
  }

  @Test
  void aFileThatIsGoneIsNoChange() throws IOException {
    final SettingsReloader file = new SettingsReloader(folder.resolve("settings.yaml"));
    write(WHOLE);
    file.load();
    Files.delete(folder.resolve("settings.yaml"));
    assertFalse(file.shouldReload());
  }
}
