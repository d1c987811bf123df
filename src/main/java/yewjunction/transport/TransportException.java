package yewjunction.transport;

import yewjunction.common.ErrorCode;
import yewjunction.common.YewjunctionException;

/** The bytes on a connection are no frames. The connection has to be closed; a new one may work. */
public final class TransportException extends YewjunctionException {
  private static final long serialVersionUID = 1L;

  /** A failure that this layer found itself. */
  public TransportException(final ErrorCode code, final String text) {
    this(code, text, null);
  }

  /** A failure with another one behind it. */
  public TransportException(final ErrorCode code, final String text, final Throwable cause) {
    super(code, text, cause);
  }
}
