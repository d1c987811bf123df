package yewjunction.control;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import java.util.function.Supplier;
import yewjunction.common.AgentContext;
import yewjunction.common.LogEvent;
import yewjunction.raft.RaftNode;
import yewjunction.raft.TaskExecutor;

/** The operator's changes, one at a time, so that each is checked against the one before. */
final class ChangeQueue {
  private final AgentContext context;
  private final RaftNode raftNode;
  private final Supplier<OperatorApi.Response> elsewhere;
  private final ArrayDeque<PendingCall> queue = new ArrayDeque<>();
  private boolean busy;
  private TaskExecutor executor =
      (blocking, afterwards) -> {
        blocking.run();
        afterwards.run();
      };

  private record PendingCall(
      Runnable reading,
      Supplier<CallDecision> look,
      Consumer<OperatorApi.Response> responder,
      long untilMs,
      boolean confirmed) {}

  /** Elsewhere: what to say where this member does not lead. */
  ChangeQueue(
      final AgentContext context,
      final RaftNode raftNode,
      final Supplier<OperatorApi.Response> elsewhere) {
    this.context = context;
    this.raftNode = raftNode;
    this.elsewhere = elsewhere;
  }

  void readBy(final TaskExecutor chosenExecutor) {
    executor = chosenExecutor;
  }

  /**
   * Reading: done beside the owner's thread, in this turn, before the first look; null where
   * nothing is to be read.
   */
  void take(
      final long patienceMs,
      final Runnable reading,
      final Supplier<CallDecision> look,
      final Consumer<OperatorApi.Response> responder) {
    enter(new PendingCall(reading, look, responder, context.nowMs() + patienceMs, false));
  }

  private void enter(final PendingCall call) {
    queue.add(call);
    if (!busy) {
      next();
    }
  }

  private void next() {
    busy = true;
    while (!queue.isEmpty()) {
      if (!over(queue.poll())) {
        return;
      }
    }
    busy = false;
  }

  /** True when the next one may go on; false while this one is read, or the ledger has its deed. */
  private boolean over(final PendingCall call) {
    if (context.nowMs() > call.untilMs) {
      // Its caller has been told that there is no answer, and asks again: begun now it would only
      // be in the way.
      call.responder.accept(OperatorApi.Response.unclear("this took too long, ask again"));
      return true;
    }
    if (!raftNode.isReadyLeader()) {
      call.responder.accept(elsewhere.get());
      return true;
    }
    if (call.confirmed || call.reading == null) {
      return looked(call, false);
    }
    return beside(call, call.reading, false);
  }

  /** Works beside the owner's thread, then looks: nobody else's turn comes meanwhile. */
  private boolean beside(final PendingCall call, final Runnable work, final boolean worked) {
    try {
      executor.execute(
          work,
          () -> {
            if (looked(call, worked)) {
              next();
            }
          });
      return false;
    } catch (final OutOfMemoryError failure) {
      // No thread to be had: said so, and the others have their turns.
      call.responder.accept(OperatorApi.Response.unclear("no memory to read this"));
      return true;
    }
  }

  private boolean looked(final PendingCall call, final boolean worked) {
    // Its reading took a while: what is taken now its repeat will know, but only a leader takes it.
    if (!raftNode.isReadyLeader()) {
      call.responder.accept(elsewhere.get());
      return true;
    }
    final CallDecision decision;
    try {
      decision = call.look.get();
      if (worked && decision.beside() != null) {
        throw new IllegalStateException("worked out, and still open");
      }
    } catch (final RuntimeException failure) {
      // One call that cannot be worked out must not hold up all behind it for good.
      LogEvent.TURN_DEFECT.warn("an operator's call", failure);
      call.responder.accept(OperatorApi.Response.unclear("this could not be worked out"));
      return true;
    }
    if (decision.beside() != null && !worked) {
      return beside(call, decision.beside(), true);
    }
    if (decision.command() != null) {
      return !proposed(call, decision);
    }
    if (decision.fact() && !call.confirmed) {
      // Asked outside the turn: others need not wait, and what they change meanwhile the second
      // look sees.
      raftNode.confirmLeadership(held -> context.post(() -> confirmed(call, held)));
    } else {
      call.responder.accept(decision.response());
    }
    return true;
  }

  private boolean proposed(final PendingCall call, final CallDecision decision) {
    final boolean proposed =
        raftNode.propose(
            ControlStateMachine.bytes(decision.command()),
            done -> {
              if (done) {
                decision.done().run();
              }
              // Not done is not refused: the next leader may hold it, and its repeat finds out.
              call.responder.accept(
                  done
                      ? decision.response()
                      : OperatorApi.Response.unclear("the leader changed, ask again"));
              next();
            });
    if (!proposed) {
      call.responder.accept(elsewhere.get());
    }
    return proposed;
  }

  /** Comes as a command of its own: the ledger drops questions before it has let go of its lead. */
  private void confirmed(final PendingCall call, final boolean held) {
    if (held) {
      enter(new PendingCall(call.reading, call.look, call.responder, call.untilMs, true));
    } else {
      call.responder.accept(elsewhere.get());
    }
  }
}
