package yewjunction.common;

/**
 * A failure with a code. Each layer throws its own subclass; the text says what went wrong and
 * where, and {@link ErrorCode#retriable()} whether trying again can help.
 */
public abstract class YewjunctionException extends RuntimeException {
  private static final long serialVersionUID = 1L;
  private final ErrorCode code;

  protected YewjunctionException(final ErrorCode code, final String text, final Throwable cause) {
    super(text, cause);
    this.code = code;
  }

  /** What went wrong, for programs. */
  public ErrorCode code() {
    return code;
  }
}
