package yewjunction.fanout;

import static yewjunction.common.Limits.GAUGE_EDGE_CELLS;
import static yewjunction.common.Limits.GAUGE_EDGE_EVERY;
import static yewjunction.common.Limits.GOSSIP_MS;
import static yewjunction.common.Limits.TALLY_MS;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import yewjunction.common.AgentContext;
import yewjunction.common.PeerConnection;
import yewjunction.common.PeerTransport;
import yewjunction.fanout.FanoutMessages.CountRequest;
import yewjunction.fanout.FanoutMessages.CountResponse;
import yewjunction.fanout.FanoutMessages.ReplayRequest;
import yewjunction.fanout.FanoutMessages.ReplicaStates;
import yewjunction.fanout.FanoutMessages.SubscribeRequest;
import yewjunction.subscription.AddWinsSet;

/**
 * An edge's side of the exchange of the set: what it changed goes to its home at once, and what
 * others changed comes from there at a pace that its link bears. Counts and older messages are
 * asked of the home, which holds them.
 */
public final class SubscriptionSyncClient {
  private final AgentContext pulse;
  private final AddWinsSet weave;
  private final SubscriptionSync shuttle;
  private final Supplier<PeerConnection> home;
  private final Map<Long, PendingCount> questions = new HashMap<>();
  private long requests;
  private long rounds;

  private record PendingCount(long atMs, IntConsumer answer) {}

  SubscriptionSyncClient(
      final AgentContext pulse,
      final PeerTransport post,
      final AddWinsSet weave,
      final SubscriptionSync shuttle,
      final Supplier<PeerConnection> home,
      final Runnable changed) {
    this.pulse = pulse;
    this.weave = weave;
    this.shuttle = shuttle;
    this.home = home;
    rounds = pulse.luck().nextInt(GAUGE_EDGE_EVERY);
    post.on(
        ReplicaStates.class,
        (link, cloth) -> {
          weave.receive(cloth.state);
          changed.run();
        });
    post.on(
        CountResponse.class,
        (link, tallied) -> {
          final PendingCount question = questions.remove(tallied.request);
          if (question != null) {
            question.answer.accept(tallied.count);
          }
        });
    pulse.every(GOSSIP_MS, this::round);
  }

  private void round() {
    final PeerConnection chosenHome = home.get();
    if (weave.self() == 0 || chosenHome == null) {
      return;
    }
    final Set<Long> touched = weave.takeTouched();
    if (!touched.isEmpty()) {
      shuttle.push(chosenHome, touched, weave.mark(weave.self()));
    }
    if (++rounds % GAUGE_EDGE_EVERY == 0) {
      shuttle.compare(chosenHome, GAUGE_EDGE_CELLS, true);
    }
  }

  /** How many subscribe, from the home; false when it can't be asked. */
  public boolean tally(final String topic, final IntConsumer answer) {
    final PeerConnection chosenHome = home.get();
    if (chosenHome == null) {
      return false;
    }
    final CountRequest tally = new CountRequest();
    tally.request = ++requests;
    tally.topic = topic;
    questions.put(tally.request, new PendingCount(pulse.nowMs(), answer));
    return chosenHome.send(tally);
  }

  /**
   * Questions that the home has not answered in time are answered from here: -1 asks the asker to
   * do so.
   */
  public void look() {
    final long nowMs = pulse.nowMs();
    for (final Iterator<PendingCount> each = questions.values().iterator(); each.hasNext(); ) {
      final PendingCount question = each.next();
      if (nowMs - question.atMs > TALLY_MS) {
        each.remove();
        question.answer.accept(-1);
      }
    }
  }

  /** Early word of a new instance, and the subscription it stands for. */
  public void notice(
      final long request,
      final String topic,
      final String client,
      final long instance,
      final long position) {
    final PeerConnection chosenHome = home.get();
    if (chosenHome != null) {
      final SubscribeRequest notice = new SubscribeRequest();
      notice.request = request;
      notice.topic = topic;
      notice.client = client;
      notice.instance = instance;
      notice.position = position;
      chosenHome.send(notice);
    }
  }

  /** The next piece of older messages. */
  public void further(final long request, final String topic, final long after, final long upTo) {
    final PeerConnection chosenHome = home.get();
    if (chosenHome != null) {
      final ReplayRequest further = new ReplayRequest();
      further.request = request;
      further.topic = topic;
      further.after = after;
      further.upTo = upTo;
      chosenHome.send(further);
    }
  }
}
