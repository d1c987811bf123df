package yewjunction.gateway;

import static yewjunction.common.Limits.DOCK_SWEEP_MS;
import static yewjunction.common.Limits.HOMELESS_MS;
import static yewjunction.common.Limits.LAPSED_LINKS_MS;
import static yewjunction.common.Limits.RENEW_MS;
import static yewjunction.common.Limits.SILENT_PINGS;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;
import yewjunction.common.AgentContext;
import yewjunction.common.PeerTransport;
import yewjunction.control.Configuration;
import yewjunction.control.LeaseClient;
import yewjunction.fanout.StreamClient;
import yewjunction.store.StoredMessage;
import yewjunction.subscription.AddWinsSet;
import yewjunction.transport.ClientConnection;

/** All clients of one edge. */
public final class ClientRegistry implements StreamClient.Listener {
  /** turns; more than this held back under a lapsed lease is given up. */
  private static final int STALLED_MOST = 20_000;

  private final AgentContext pulse;
  private final LeaseClient tenure;
  private final AddWinsSet weave;
  private final CommandHandler requests;
  private final PublishForwarder shipping;
  private final long silentMs;
  private final Map<String, ClientSession> clients = new HashMap<>();
  private final DisconnectedClients absentees;
  private final SubscriptionManager boarding;
  private final OrderViolationCounters disorders = new OrderViolationCounters();
  private final ArrayDeque<Runnable> stalled = new ArrayDeque<>();
  private LongPredicate live = replica -> true;
  private ConnectionDrainer drain;
  private long heldMs;
  private StreamClient envoy;

  public ClientRegistry(
      final AgentContext pulse,
      final PeerTransport post,
      final LeaseClient tenure,
      final AddWinsSet weave,
      final double pingS) {
    this.pulse = pulse;
    this.tenure = tenure;
    this.weave = weave;
    requests = new CommandHandler(this, tenure, weave);
    shipping = new PublishForwarder(pulse, post, tenure.life());
    absentees = new DisconnectedClients(weave);
    boarding = new SubscriptionManager(this, pulse, weave);
    silentMs = (long) (pingS * 1_000 * SILENT_PINGS);
    pulse.every(DOCK_SWEEP_MS, this::look);
  }

  public void envoy(final StreamClient chosenEnvoy) {
    envoy = chosenEnvoy;
    boarding.envoy(chosenEnvoy);
  }

  /** Which replicas count as there. */
  public void live(final LongPredicate chosenLive) {
    live = chosenLive;
  }

  public ClientConnection.Handler greet(final ClientConnection line) {
    return new ClientSession(this, line, pulse.nowMs());
  }

  long nowMs() {
    return pulse.nowMs();
  }

  CommandHandler requests() {
    return requests;
  }

  SubscriptionManager boarding() {
    return boarding;
  }

  /** Breaks of the declared order met here. */
  public OrderViolationCounters disorders() {
    return disorders;
  }

  public PublishForwarder shipping() {
    return shipping;
  }

  List<ClientSession> berths() {
    return new ArrayList<>(clients.values());
  }

  /** How many subscribe, from the home, or from here when that does not answer. */
  void count(final ClientSession berth, final String topic) {
    final boolean asked =
        envoy != null
            && envoy
                .weft()
                .tally(
                    topic,
                    count -> {
                      if (berth.line.open()) {
                        berth.count(topic, count >= 0 ? count : weave.count(topic, live));
                      }
                    });
    if (!asked) {
      berth.count(topic, weave.count(topic, live));
    }
  }

  void greeted(final ClientSession berth) {
    final ClientSession older = clients.put(berth.client, berth);
    // The newest link owns the client: the older one gets nothing more.
    if (older != null) {
      older.line.close();
    }
    absentees.here(berth.client);
  }

  void gone(final ClientSession berth) {
    for (final Subscription sub : new ArrayList<>(berth.subs.values())) {
      boarding.forget(sub);
    }
    shipping.gone(berth);
    if (clients.remove(berth.client, berth)) {
      absentees.away(berth.client, pulse.nowMs());
    }
  }

  void moveIfDraining(final ClientSession berth) {
    if (drain != null) {
      drain.move(berth);
    }
  }

  public void drain(final ConnectionDrainer chosenDrain) {
    drain = chosenDrain;
  }

  @Override
  public void attached() {
    boarding.askAgain();
  }

  @Override
  public void taken(
      final long request,
      final boolean expired,
      final long position,
      final List<StoredMessage> behind,
      final boolean more) {
    boarding.taken(request, expired, position, behind, more);
  }

  // --- messages ---

  @Override
  public void message(final StoredMessage message) {
    whenHeld(() -> boarding.deliver(message, pulse.nowMs()));
  }

  /** Nothing is delivered under a lapsed lease; what came meanwhile follows in its order. */
  void whenHeld(final Runnable delivery) {
    if (stalled.isEmpty() && tenure.held()) {
      delivery.run();
    } else {
      stalled.add(delivery);
      if (stalled.size() > STALLED_MOST) {
        letGo();
      }
    }
  }

  private void letGo() {
    stalled.clear();
    berths().forEach(berth -> berth.line.close());
  }

  /**
   * Each subscription is taken up by its own cursor, here or elsewhere, or is told that it can't
   * be.
   */
  @Override
  public void gapped() {
    letGo();
  }

  /** How often a filtered subscription's cursor is renewed: well before it could expire. */
  long renewMs(final String topic) {
    final Configuration.Route space = tenure.charter().space(topic);
    return space == null ? RENEW_MS : Math.min(RENEW_MS, space.keepMs() / 4);
  }

  @Override
  public void leaderIs(final String address) {
    shipping.leaderIs(address);
  }

  @Override
  public void leaderHeard() {
    shipping.leaderHeard();
  }

  public void configChanged(final Configuration charter) {
    boarding.charter(charter);
    for (final ClientSession berth : berths()) {
      for (final String topic : new ArrayList<>(berth.subs.keySet())) {
        final String denial = CommandHandler.charterDenial(charter, berth.secret, topic);
        if (denial != null) {
          boarding.drop(berth, topic);
          berth.refuse("SUB", topic, "", denial);
        }
      }
    }
  }

  /** Another edge took a client over: its instance here is cancelled, so the old link goes. */
  public void setChanged() {
    for (final ClientSession berth : berths()) {
      for (final Subscription sub : berth.subs.values()) {
        if (weave.instance(sub.topic, berth.client, weave.self()) == 0) {
          berth.line.close();
          break;
        }
      }
    }
  }

  private void look() {
    final long nowMs = pulse.nowMs();
    while (!stalled.isEmpty() && tenure.held()) {
      stalled.poll().run();
    }
    if (tenure.held()) {
      heldMs = nowMs;
    } else if (nowMs - heldMs > LAPSED_LINKS_MS) {
      // A client that only listens would never notice that nothing can come here.
      letGo();
    }
    if (envoy.homelessMs() > HOMELESS_MS) {
      // The same without a home; whoever has only just come may still see one found.
      berths().stream()
          .filter(berth -> nowMs - berth.greetedMs > HOMELESS_MS)
          .forEach(berth -> berth.line.close());
    }
    requests.look(nowMs);
    shipping.look(nowMs);
    boarding.look(nowMs);
    envoy.weft().look();
    for (final ClientSession berth : berths()) {
      if (nowMs - berth.heardMs > silentMs) {
        berth.line.close();
      }
    }
    SlowReaderLimit.cutSlowest(clients.values());
    absentees.look(nowMs);
  }
}
