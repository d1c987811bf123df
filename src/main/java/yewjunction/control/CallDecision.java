package yewjunction.control;

import static java.util.Objects.requireNonNull;

/**
 * What the state decides about an operator's call: one of the four that the factory methods make.
 *
 * @param response what to answer, null while work is still to be done
 * @param needsConfirmation the response tells of this node's state, so a majority must confirm the
 *     leadership first
 * @param backgroundWork to be run off the agent's thread before the state is looked at again, else
 *     null
 * @param command to be committed before the response is sent, else null
 * @param onApplied called once the command is applied here
 */
record CallDecision(
    OperatorApi.Response response,
    boolean needsConfirmation,
    Runnable backgroundWork,
    ControlCommand command,
    Runnable onApplied) {
  /**
   * A response that no other change can make wrong: it depends on the request alone, or stays true.
   */
  static CallDecision finalResponse(final OperatorApi.Response response) {
    return new CallDecision(response, false, null, null, null);
  }

  /**
   * A response that tells of this node's state: given only after a majority has confirmed the
   * leadership since the call came.
   */
  static CallDecision needsConfirmation(final OperatorApi.Response response) {
    return new CallDecision(response, true, null, null, null);
  }

  static CallDecision backgroundWork(final Runnable work) {
    return new CallDecision(null, false, work, null, null);
  }

  static CallDecision propose(
      final ControlCommand command, final OperatorApi.Response response, final Runnable done) {
    // Without a command the response would promise something that was never committed.
    return new CallDecision(response, false, null, requireNonNull(command), done);
  }
}
