package yewjunction.control;

import static java.util.Objects.requireNonNull;

/**
 * What a look at the state says to an operator's call. Beside: to be worked out off the owner's
 * thread before the next look. Deed: to be agreed on first; then that is done, and this is the
 * answer. Fact: see there.
 */
record CallDecision(
    OperatorApi.Response response,
    boolean fact,
    Runnable beside,
    ControlCommand command,
    Runnable done) {
  /**
   * True whatever else is agreed on meanwhile: it depends on the request alone, or stays so once it
   * is so.
   */
  static CallDecision lasting(final OperatorApi.Response response) {
    return new CallDecision(response, false, null, null, null);
  }

  /**
   * True of this member's state; told only by a leader that a majority has confirmed after the call
   * came.
   */
  static CallDecision fact(final OperatorApi.Response response) {
    return new CallDecision(response, true, null, null, null);
  }

  static CallDecision beside(final Runnable work) {
    return new CallDecision(null, false, work, null, null);
  }

  static CallDecision agree(
      final ControlCommand command, final OperatorApi.Response response, final Runnable done) {
    // Without a deed the answer would be a promise of nothing.
    return new CallDecision(response, false, null, requireNonNull(command), done);
  }
}
