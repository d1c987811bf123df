package yewjunction.control;

import yewjunction.common.ErrorCode;
import yewjunction.common.YewjunctionException;

/**
 * A configuration, or a change of it, is not valid. Trying again helps only with another text or
 * another base version.
 */
public final class ConfigurationException extends YewjunctionException {
  private static final long serialVersionUID = 1L;

  /** A failure that this layer found itself. */
  public ConfigurationException(final ErrorCode code, final String text) {
    this(code, text, null);
  }

  /** A failure with another one behind it. */
  public ConfigurationException(final ErrorCode code, final String text, final Throwable cause) {
    super(code, text, cause);
  }
}
