package yewjunction.raft;

import yewjunction.common.ErrorCode;
import yewjunction.common.YewjunctionException;

/**
 * A file cannot be read or written. Only a full disk justifies another try; after any other failure
 * the process must end.
 */
public final class StorageException extends YewjunctionException {
  private static final long serialVersionUID = 1L;

  /** A failure that this layer found itself. */
  public StorageException(final ErrorCode code, final String text) {
    this(code, text, null);
  }

  /** A failure with another one behind it. */
  public StorageException(final ErrorCode code, final String text, final Throwable cause) {
    super(code, text, cause);
  }
}
