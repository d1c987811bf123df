package yewjunction.common;

/** A message cannot be encoded or decoded. The same bytes never will be. */
public final class CodecException extends YewjunctionException {
  private static final long serialVersionUID = 1L;

  public CodecException(final ErrorCode code, final String text) {
    this(code, text, null);
  }

  public CodecException(final ErrorCode code, final String text, final Throwable cause) {
    super(code, text, cause);
  }
}
