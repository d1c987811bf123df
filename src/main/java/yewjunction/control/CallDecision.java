package yewjunction.control;

import static java.util.Objects.requireNonNull;

/**
 * What a look at the state says to an operator's call. Beside: to be worked out off the owner's
 * thread before the next look. Command: to be agreed on first; then that is done, and this is the
 * answer. Fact: see there.
 */
record CallDecision(
    OperatorApi.Response response,
    boolean needsConfirmation,
    Runnable backgroundWork,
    ControlCommand command,
    Runnable onApplied) {
  /**
   * True whatever else is agreed on meanwhile: it depends on the request alone, or stays so once it
   * is so.
   */
  static CallDecision finalResponse(final OperatorApi.Response response) {
    return new CallDecision(response, false, null, null, null);
  }

  /**
   * True of this member's state; told only by a leader that a majority has confirmed after the call
   * came.
   */
  static CallDecision needsConfirmation(final OperatorApi.Response response) {
    return new CallDecision(response, true, null, null, null);
  }

  static CallDecision backgroundWork(final Runnable work) {
    return new CallDecision(null, false, work, null, null);
  }

  static CallDecision propose(
      final ControlCommand command, final OperatorApi.Response response, final Runnable done) {
    // Without a command the answer would be a promise of nothing.
    return new CallDecision(response, false, null, requireNonNull(command), done);
  }
}
