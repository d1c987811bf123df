package yewjunction.settings;

import yewjunction.common.ErrorCode;
import yewjunction.common.YewjunctionException;

/**
 * The settings file of a process is missing or wrong. Trying again helps only once the file has
 * been changed.
 */
public final class SettingsException extends YewjunctionException {
  private static final long serialVersionUID = 1L;

  /** A failure that this layer found itself. */
  public SettingsException(final ErrorCode code, final String text) {
    this(code, text, null);
  }

  /** A failure with another one behind it. */
  public SettingsException(final ErrorCode code, final String text, final Throwable cause) {
    super(code, text, cause);
  }
}
