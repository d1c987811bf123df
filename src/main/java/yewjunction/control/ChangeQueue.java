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

  /** Elsewhere: what to say where this member does not lead. */
  ChangeQueue(
      final AgentContext context,
      final RaftNode raftNode,
      final Supplier<OperatorApi.Response> elsewhere) {
    this.context = context;
    this.raftNode = raftNode;
    this.notLeaderResponse = elsewhere;
  }

  void setExecutor(final TaskExecutor chosenExecutor) {
    executor = chosenExecutor;
  }

  /**
   * Reading: done beside the owner's thread, in this turn, before the first look; null where
   * nothing is to be read.
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

  /** True when the next one may go on; false while this one is read, or the log has its command. */
  private boolean process(final PendingCall call) {
    if (context.nowMs() > call.deadlineMs) {
      // Its caller has been told that there is no answer, and asks again: begun now it would only
      // be in the way.
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

  /** Works beside the owner's thread, then looks: nobody else's turn comes meanwhile. */
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
      // No thread to be had: said so, and the others have their turns.
      call.responder.accept(OperatorApi.Response.unclear("no memory to read this"));
      return true;
    }
  }

  private boolean decide(final PendingCall call, final boolean worked) {
    // Its reading took a while: what is taken now its repeat will know, but only a leader takes it.
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
      // One call that cannot be worked out must not hold up all behind it for good.
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
      // Asked outside the turn: others need not wait, and what they change meanwhile the second
      // look sees.
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
              // Not done is not refused: the next leader may hold it, and its repeat finds out.
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

  /** Comes as a command of its own: the log drops questions before it has let go of its lead. */
  private void onLeadershipConfirmed(final PendingCall call, final boolean confirmed) {
    if (confirmed) {
      enqueue(
          new PendingCall(call.preparation, call.decider, call.responder, call.deadlineMs, true));
    } else {
      call.responder.accept(notLeaderResponse.get());
    }
  }
}
