package yewjunction.common;

/** A message cannot be encoded or decoded. The same bytes never will be. */
public final class CodecException extends YewjunctionException {
  private static final long serialVersionUID = 1L;

  /** A failure that this layer found itself. */
  public CodecException(final ErrorCode code, final String text) {
    this(code, text, null);
  }

  /** A failure with another one behind it. */
  public CodecException(final ErrorCode code, final String text, final Throwable cause) {
    super(code, text, cause);
  }
}
