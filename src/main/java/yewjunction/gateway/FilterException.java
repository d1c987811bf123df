package yewjunction.gateway;

import yewjunction.common.ErrorCode;
import yewjunction.common.YewjunctionException;

/** A client's filter is malformed or too large. Trying again helps only with another filter. */
public final class FilterException extends YewjunctionException {
  private static final long serialVersionUID = 1L;

  /** A failure that this layer found itself. */
  public FilterException(final ErrorCode code, final String text) {
    this(code, text, null);
  }

  /** A failure with another one behind it. */
  public FilterException(final ErrorCode code, final String text, final Throwable cause) {
    super(code, text, cause);
  }
}
