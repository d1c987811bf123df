package yewjunction.roster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Function;
import yewjunction.base.Event;
import yewjunction.base.Pulse;
import yewjunction.roster.Letters.Crew;
import yewjunction.roster.Letters.Echo;
import yewjunction.roster.Letters.Hail;
import yewjunction.roster.Letters.Letter;

import static yewjunction.base.Limits.GONE_MS;
import static yewjunction.base.Limits.NEWS_PER_PROBE;
import static yewjunction.base.Limits.NEWS_TIMES;
import static yewjunction.base.Limits.SUSPECT_MS;

/** Membership by probing, second opinions and suspicion (SWIM). Its removals change no voters and no data. */
public final class Roster {
    private final Pulse pulse;
    private final Peer self;
    private final BiConsumer<String, Object> sender;
    private final Map<String, Peer> peers = new HashMap<>();
    private final Map<String, Long> changedMs = new HashMap<>();
    private final Map<String, Integer> newsLeft = new LinkedHashMap<>();
    private final Prober prober;
    private Function<Peer, String> planned = peer -> null;
    private final Hailer hailer;
    private boolean left;

    public Roster(final Pulse pulse, final Peer self, final BiConsumer<String, Object> sender) {
        this.pulse = pulse;
        this.self = self;
        this.sender = sender;
        prober = new Prober(pulse, this);
        hailer = new Hailer(pulse, this);
    }

    /** Seeds are peer addresses of crux processes; some may be stale. */
    public void start(final List<String> firstSeeds) {
        hailer.seeds(firstSeeds);
        hailer.start();
        prober.start();
    }

    public void seeds(final List<String> newSeeds) {
        hailer.seeds(newSeeds);
    }

    boolean left() {
        return left;
    }

    public Peer self() {
        return self;
    }

    public Collection<Peer> all() {
        return Collections.unmodifiableCollection(peers.values());
    }

    /** Peers of a duty that are up, own zone first, without this process. */
    public List<Peer> up(final String duty) {
        final List<Peer> chosen = new ArrayList<>();
        for (final Peer peer : peers.values()) {
            if (peer.up() && peer.duty.equals(duty)) {
                chosen.add(peer);
            }
        }
        chosen.sort(java.util.Comparator.comparing((Peer peer) -> !peer.zone.equals(self.zone))
            .thenComparing(peer -> peer.address));
        return chosen;
    }

    public Peer at(final String address) {
        return peers.get(address);
    }

    /** The zone of an address, empty when it is not known. */
    public String zoneAt(final String address) {
        final Peer peer = address.equals(self.address) ? self : peers.get(address);
        return peer == null ? "" : peer.zone;
    }

    public void ready(final boolean ready) {
        if (self.ready != ready) {
            self.ready = ready;
            raise(self.number + 1);
        }
    }

    /** Says goodbye, so that nobody suspects first. */
    public void leave() {
        left = true;
        self.standing = Peer.LEFT;
        self.ready = false;
        raise(self.number + 1);
        for (final Peer peer : peers.values()) {
            if (peer.up() && peer.zone.equals(self.zone)) {
                send(peer.address, new Echo());
            }
        }
    }

    private void raise(final long number) {
        self.number = number;
        tell(self.address);
    }

    private void tell(final String address) {
        newsLeft.remove(address);
        newsLeft.put(address, NEWS_TIMES);
    }

    /** Who explains why a peer may be away: planned work, or null for none. */
    public void planned(final Function<Peer, String> explainer) {
        planned = explainer;
    }

    private String about(final Peer peer) {
        final String work = planned.apply(peer);
        return peer.node + " " + peer.duty + (work == null ? "" : " planned: " + work);
    }

    void suspect(final String address) {
        final Peer peer = peers.get(address);
        if (peer != null && peer.standing == Peer.UP) {
            Event.SIBLING_SUSPECT.info(about(peer));
            change(peer, Peer.SUSPECT);
            tellSuspect(peer);
        }
    }

    /** Told at once and again, so that it can refute before the time is over though datagrams get lost. */
    private void tellSuspect(final Peer peer) {
        if (peers.get(peer.address) == peer && peer.standing == Peer.SUSPECT && !left) {
            send(peer.address, new Echo());
            pulse.after(SUSPECT_MS / 4, () -> tellSuspect(peer));
        }
    }

    private void change(final Peer peer, final int standing) {
        peer.standing = standing;
        changedMs.put(peer.address, pulse.nowMs());
        tell(peer.address);
    }

    void sweep() {
        final long nowMs = pulse.nowMs();
        for (final Iterator<Peer> each = peers.values().iterator(); each.hasNext();) {
            final Peer peer = each.next();
            final long sinceMs = nowMs - changedMs.getOrDefault(peer.address, nowMs);
            if (peer.standing == Peer.SUSPECT && sinceMs > SUSPECT_MS) {
                Event.SIBLING_GONE.info(about(peer));
                change(peer, Peer.GONE);
            } else if (!peer.up() && sinceMs > GONE_MS) {
                each.remove();
                changedMs.remove(peer.address);
            }
        }
    }

    void send(final String address, final Letter letter) {
        letter.self = self.copy();
        // Whoever is thought to be away hears so first: a restarted or wrongly suspected one then refutes it.
        final Peer receiver = peers.get(address);
        if (receiver != null && receiver.standing != Peer.UP) {
            letter.news.add(receiver.copy());
        }
        for (final String about : List.copyOf(newsLeft.keySet())) {
            if (letter.news.size() >= NEWS_PER_PROBE) {
                break;
            }
            final int left = newsLeft.merge(about, -1, Integer::sum);
            if (left <= 0) {
                newsLeft.remove(about);
            }
            final Peer known = peers.get(about);
            if (known != null) {
                letter.news.add(known.copy());
            }
        }
        sender.accept(address, letter);
    }

    public void take(final String from, final Object taken) {
        if (!(taken instanceof Letter letter) || letter.self == null) {
            return;
        }
        final long numberBefore = self.number;
        hear(letter.self, true);
        // Whoever asks a seed hears all of it: passing that on would cost each of a hundred that start together as many times.
        letter.news.forEach(news -> hear(news, !(letter instanceof Crew)));
        if (self.number != numberBefore) {
            // A refutation goes straight back to whoever doubted.
            send(from, new Echo());
        }
        if (letter instanceof Hail hail) {
            hailer.answer(from, hail);
        } else {
            prober.take(from, letter);
        }
    }

    private void hear(final Peer news, final boolean passedOn) {
        if (news.address.equals(self.address)) {
            // News of an earlier life, or a suspicion: refuted by a higher number.
            if (!left && news.number >= self.number && (news.life != self.life || news.standing != Peer.UP)) {
                raise(news.number + 1);
            }
            return;
        }
        final Peer known = peers.get(news.address);
        if (known == null) {
            // Someone unknown who is gone already is no news.
            if (news.up()) {
                peers.put(news.address, news);
                changedMs.put(news.address, pulse.nowMs());
                if (passedOn) {
                    tell(news.address);
                }
                Event.SIBLING_JOINED.info(news.node + " " + news.duty);
            }
        } else if (news.over(known)) {
            peers.put(news.address, news);
            change(news, news.standing);
        }
    }
}
