package yewjunction.common;

/** The exit codes of the program; the README lists them, and none changes its meaning. */
public final class ExitCode {
  /** Ended as asked. */
  public static final int OK = 0;

  /** {@code check} or {@code doctor} found something wrong, or the rehearsal failed. */
  public static final int FINDINGS = 1;

  /** Wrong arguments, or {@code doctor} could not look. */
  public static final int USAGE = 2;

  /** The settings file is missing or wrong. */
  public static final int SETTINGS = 3;

  /** A log file is damaged before its end. */
  public static final int STORAGE_DAMAGED = 4;

  /** The disk failed. */
  public static final int DISK_FAILED = 5;

  /** An address could not be listened on. */
  public static final int ADDRESS_UNAVAILABLE = 6;

  /** An unexpected error left state in memory that may be half changed. */
  public static final int UNEXPECTED_ERROR = 7;

  private ExitCode() {}
}
