package yewjunction.common;

/**
 * Codes of the failures that a caller can meet, by layer; docs/events.md lists them for operators.
 * Those that begin with CONFIG are the {@code Err} codes of the operator's calls and never change.
 */
public enum ErrorCode {
  /** The settings file cannot be read. */
  SETTINGS_MISSING,
  /** The settings file is no YAML map. */
  SETTINGS_UNREADABLE,
  /** A field of the settings file is missing or wrong; the text names it. */
  SETTINGS_FIELD,

  /** The configuration is no JSON object. */
  CONFIG_UNREADABLE,
  /** A field of the configuration is missing or wrong; the text names its path. */
  CONFIG_FIELD,
  /** Two routes share a name, or a host and a prefix. */
  CONFIG_PLACE,
  /** A route's time-out is missing or not above 0. */
  CONFIG_TIMEOUT,
  /** A route names a service that does not exist. */
  CONFIG_SERVICE,
  /** Two tenants share a name or a key. */
  CONFIG_KEY,
  /** The change builds on another version than the current one, or does not raise it. */
  CONFIG_VERSION,

  /** A filter's pattern is malformed. */
  FILTER_INVALID,
  /** A filter has too many patterns, or is too long. */
  FILTER_TOO_LARGE,

  /** A file is damaged before its end, where it had been synced: nothing may be served from it. */
  STORAGE_DAMAGED,
  /** The disk failed an operation and can no longer be trusted. */
  STORAGE_FAILED,
  /** The disk has no room; the same write may be tried again once there is some. */
  STORAGE_FULL(true),

  /** The kind of a message is not known here: it may come from a newer release. */
  MESSAGE_UNKNOWN,
  /** The body of a message cannot be decoded. */
  MESSAGE_GARBLED,

  /** What came on a connection is no frame: the connection has to be closed. */
  CONNECTION_GARBLED;

  private final boolean retriable;

  ErrorCode() {
    this(false);
  }

  ErrorCode(final boolean retriable) {
    this.retriable = retriable;
  }

  /** Whether the very same call can succeed later. */
  public boolean retriable() {
    return retriable;
  }
}
