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
  private final AgentContext pulse;
  private final RaftNode ledger;
  private final Supplier<OperatorApi.Response> elsewhere;
  private final ArrayDeque<PendingCall> queue = new ArrayDeque<>();
  private boolean busy;
  private TaskExecutor reader =
      (blocking, afterwards) -> {
        blocking.run();
        afterwards.run();
      };

  private record PendingCall(
      Runnable reading,
      Supplier<CallDecision> look,
      Consumer<OperatorApi.Response> answer,
      long untilMs,
      boolean confirmed) {}

  /** Elsewhere: what to say where this member does not lead. */
  ChangeQueue(
      final AgentContext pulse,
      final RaftNode ledger,
      final Supplier<OperatorApi.Response> elsewhere) {
    this.pulse = pulse;
    this.ledger = ledger;
    this.elsewhere = elsewhere;
  }

  void readBy(final TaskExecutor chosenReader) {
    reader = chosenReader;
  }

  /**
   * Reading: done beside the owner's thread, in this turn, before the first look; null where
   * nothing is to be read.
   */
  void take(
      final long patienceMs,
      final Runnable reading,
      final Supplier<CallDecision> look,
      final Consumer<OperatorApi.Response> answer) {
    enter(new PendingCall(reading, look, answer, pulse.nowMs() + patienceMs, false));
  }

  private void enter(final PendingCall turn) {
    queue.add(turn);
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
  private boolean over(final PendingCall turn) {
    if (pulse.nowMs() > turn.untilMs) {
      // Its caller has been told that there is no answer, and asks again: begun now it would only
      // be in the way.
      turn.answer.accept(OperatorApi.Response.unclear("this took too long, ask again"));
      return true;
    }
    if (!ledger.leads()) {
      turn.answer.accept(elsewhere.get());
      return true;
    }
    if (turn.confirmed || turn.reading == null) {
      return looked(turn, false);
    }
    return beside(turn, turn.reading, false);
  }

  /** Works beside the owner's thread, then looks: nobody else's turn comes meanwhile. */
  private boolean beside(final PendingCall turn, final Runnable work, final boolean worked) {
    try {
      reader.work(
          work,
          () -> {
            if (looked(turn, worked)) {
              next();
            }
          });
      return false;
    } catch (final OutOfMemoryError defect) {
      // No thread to be had: said so, and the others have their turns.
      turn.answer.accept(OperatorApi.Response.unclear("no memory to read this"));
      return true;
    }
  }

  private boolean looked(final PendingCall turn, final boolean worked) {
    // Its reading took a while: what is taken now its repeat will know, but only a leader takes it.
    if (!ledger.leads()) {
      turn.answer.accept(elsewhere.get());
      return true;
    }
    final CallDecision verdict;
    try {
      verdict = turn.look.get();
      if (worked && verdict.beside() != null) {
        throw new IllegalStateException("worked out, and still open");
      }
    } catch (final RuntimeException defect) {
      // One call that cannot be worked out must not hold up all behind it for good.
      LogEvent.TURN_DEFECT.warn("an operator's call", defect);
      turn.answer.accept(OperatorApi.Response.unclear("this could not be worked out"));
      return true;
    }
    if (verdict.beside() != null && !worked) {
      return beside(turn, verdict.beside(), true);
    }
    if (verdict.deed() != null) {
      return !proposed(turn, verdict);
    }
    if (verdict.fact() && !turn.confirmed) {
      // Asked outside the turn: others need not wait, and what they change meanwhile the second
      // look sees.
      ledger.confirm(held -> pulse.post(() -> confirmed(turn, held)));
    } else {
      turn.answer.accept(verdict.answer());
    }
    return true;
  }

  private boolean proposed(final PendingCall turn, final CallDecision verdict) {
    final boolean proposed =
        ledger.propose(
            ControlStateMachine.bytes(verdict.deed()),
            done -> {
              if (done) {
                verdict.done().run();
              }
              // Not done is not refused: the next leader may hold it, and its repeat finds out.
              turn.answer.accept(
                  done
                      ? verdict.answer()
                      : OperatorApi.Response.unclear("the leader changed, ask again"));
              next();
            });
    if (!proposed) {
      turn.answer.accept(elsewhere.get());
    }
    return proposed;
  }

  /** Comes as a command of its own: the ledger drops questions before it has let go of its lead. */
  private void confirmed(final PendingCall turn, final boolean held) {
    if (held) {
      enter(new PendingCall(turn.reading, turn.look, turn.answer, turn.untilMs, true));
    } else {
      turn.answer.accept(elsewhere.get());
    }
  }
}
