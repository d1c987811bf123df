package yewjunction.server;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import yewjunction.settings.Settings;

/**
 * Notices when the settings file changes, by its time and size or on request; somebody else writes
 * it at any moment.
 */
public final class SettingsReloader {
  private final Path file;

  /** The file's time and size before it was last read; null where it could not be looked at. */
  private String loadedState;

  /**
   * The writer may still have been at it, within one tick of the file's clock: read once more at
   * the next look.
   */
  private boolean checkAgain;

  /** Watches a file, which is read by {@link #load} only. */
  public SettingsReloader(final Path file) {
    this.file = file;
  }

  /**
   * Looked at first and read then: what is written between the two shows as a change at the next
   * look.
   */
  public Settings load() {
    loadedState = fileState();
    return Settings.load(file);
  }

  /** To be read at the next check, whatever its modification time. */
  void forceNextCheck() {
    checkAgain = true;
  }

  /** Whether it is to be read: once for a change, and once more a look later. */
  boolean shouldReload() {
    final String state = fileState();
    final boolean changed = state != null && !state.equals(loadedState);
    final boolean due = changed || checkAgain;
    checkAgain = changed;
    return due;
  }

  private String fileState() {
    try {
      final BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
      return attributes.lastModifiedTime().toMillis() + " " + attributes.size();
    } catch (final IOException failure) {
      return null;
    }
  }

  @Override
  public String toString() {
    return file.toString();
  }
}
