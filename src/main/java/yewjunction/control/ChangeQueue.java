package yewjunction.control;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import java.util.function.Supplier;
import yewjunction.common.AgentContext;
import yewjunction.common.LogEvent;
import yewjunction.raft.RaftNode;
import yewjunction.raft.TaskExecutor;

/**
 * The operator's changes, one at a time, so that each is checked against the outcome of the one
 * before. A change is parsed off the agent's thread, decided on it, and proposed to the log; the
 * next one begins once it is applied.
 *
 * <p>Owned by {@link OperatorApi}; all calls on the agent's thread.
 */
final class ChangeQueue {
  private final AgentContext context;
  private final RaftNode raftNode;
  private final Supplier<OperatorApi.Response> notLeaderResponse;
  private final ArrayDeque<PendingCall> queue = new ArrayDeque<>();
  private boolean processing;
  private TaskExecutor executor =
      (blocking, continuation) -> {
        blocking.run();
        continuation.run();
      };

  private record PendingCall(
      Runnable preparation,
      Supplier<CallDecision> decider,
      Consumer<OperatorApi.Response> responder,
      long deadlineMs,
      boolean confirmed) {}

  /**
   * Creates an empty queue.
   *
   * @param notLeaderResponse what to answer when this node does not lead
   */
  ChangeQueue(
      final AgentContext context,
      final RaftNode raftNode,
      final Supplier<OperatorApi.Response> notLeaderResponse) {
    this.context = context;
    this.raftNode = raftNode;
    this.notLeaderResponse = notLeaderResponse;
  }

  void setExecutor(final TaskExecutor chosenExecutor) {
    executor = chosenExecutor;
  }

  /**
   * Adds a call.
   *
   * @param preparation runs off the agent's thread before the first decision; null when there is
   *     none
   * @param decider looks at the state, on the agent's thread
   */
  void submit(
      final long patienceMs,
      final Runnable preparation,
      final Supplier<CallDecision> decider,
      final Consumer<OperatorApi.Response> responder) {
    enqueue(new PendingCall(preparation, decider, responder, context.nowMs() + patienceMs, false));
  }

  private void enqueue(final PendingCall call) {
    queue.add(call);
    if (!processing) {
      processNext();
    }
  }

  private void processNext() {
    processing = true;
    while (!queue.isEmpty()) {
      if (!process(queue.poll())) {
        return;
      }
    }
    processing = false;
  }

  /** Returns true when the next call may go on; false while this one is prepared or committed. */
  private boolean process(final PendingCall call) {
    if (context.nowMs() > call.deadlineMs) {
      // Its caller has given up and will ask again: processing it now would only delay others.
      call.responder.accept(OperatorApi.Response.unclear("this took too long, ask again"));
      return true;
    }
    if (!raftNode.isReadyLeader()) {
      call.responder.accept(notLeaderResponse.get());
      return true;
    }
    if (call.confirmed || call.preparation == null) {
      return decide(call, false);
    }
    return runInBackground(call, call.preparation, false);
  }

  /** Runs work off the agent's thread and decides then; the queue waits meanwhile. */
  private boolean runInBackground(
      final PendingCall call, final Runnable work, final boolean worked) {
    try {
      executor.execute(
          work,
          () -> {
            if (decide(call, worked)) {
              processNext();
            }
          });
      return false;
    } catch (final OutOfMemoryError failure) {
      // No thread could be created: the call fails, and the others go on.
      call.responder.accept(OperatorApi.Response.unclear("no memory to read this"));
      return true;
    }
  }

  private boolean decide(final PendingCall call, final boolean worked) {
    // The leadership may have ended while the call was prepared.
    if (!raftNode.isReadyLeader()) {
      call.responder.accept(notLeaderResponse.get());
      return true;
    }
    final CallDecision decision;
    try {
      decision = call.decider.get();
      if (worked && decision.backgroundWork() != null) {
        throw new IllegalStateException("worked out, and still open");
      }
    } catch (final RuntimeException failure) {
      // A call that fails unexpectedly must not block the queue.
      LogEvent.UNEXPECTED_ERROR.warn("an operator's call", failure);
      call.responder.accept(OperatorApi.Response.unclear("this could not be worked out"));
      return true;
    }
    if (decision.backgroundWork() != null && !worked) {
      return runInBackground(call, decision.backgroundWork(), true);
    }
    if (decision.command() != null) {
      return !propose(call, decision);
    }
    if (decision.needsConfirmation() && !call.confirmed) {
      // Confirmed outside the queue, so that others need not wait; the call is decided again
      // afterwards.
      raftNode.confirmLeadership(held -> context.execute(() -> onLeadershipConfirmed(call, held)));
    } else {
      call.responder.accept(decision.response());
    }
    return true;
  }

  private boolean propose(final PendingCall call, final CallDecision decision) {
    final boolean proposed =
        raftNode.propose(
            ControlStateMachine.encode(decision.command()),
            done -> {
              if (done) {
                decision.onApplied().run();
              }
              // Not applied here does not mean refused: the next leader may commit it, and the
              // repeat finds out.
              call.responder.accept(
                  done
                      ? decision.response()
                      : OperatorApi.Response.unclear("the leader changed, ask again"));
              processNext();
            });
    if (!proposed) {
      call.responder.accept(notLeaderResponse.get());
    }
    return proposed;
  }

  /**
   * Runs as a command of its own, since callbacks of a lost leadership come before the role has
   * changed.
   */
  private void onLeadershipConfirmed(final PendingCall call, final boolean confirmed) {
    if (confirmed) {
      enqueue(
          new PendingCall(call.preparation, call.decider, call.responder, call.deadlineMs, true));
    } else {
      call.responder.accept(notLeaderResponse.get());
    }
  }
}
