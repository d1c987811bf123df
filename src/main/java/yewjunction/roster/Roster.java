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
    private final Sibling self;
    private final BiConsumer<String, Object> sender;
    private final Map<String, Sibling> siblings = new HashMap<>();
    private final Map<String, Long> changedMs = new HashMap<>();
    private final Map<String, Integer> newsLeft = new LinkedHashMap<>();
    private final Prober prober;
    private Function<Sibling, String> planned = sibling -> null;
    private final Hailer hailer;
    private boolean left;

    public Roster(final Pulse pulse, final Sibling self, final BiConsumer<String, Object> sender) {
        this.pulse = pulse;
        this.self = self;
        this.sender = sender;
        prober = new Prober(pulse, this);
        hailer = new Hailer(pulse, this);
    }

    /** Seeds are sibling addresses of crux processes; some may be stale. */
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

    public Sibling self() {
        return self;
    }

    public Collection<Sibling> all() {
        return Collections.unmodifiableCollection(siblings.values());
    }

    /** Siblings of a duty that are up, own zone first, without this process. */
    public List<Sibling> up(final String duty) {
        final List<Sibling> chosen = new ArrayList<>();
        for (final Sibling sibling : siblings.values()) {
            if (sibling.up() && sibling.duty.equals(duty)) {
                chosen.add(sibling);
            }
        }
        chosen.sort(java.util.Comparator.comparing((Sibling sibling) -> !sibling.zone.equals(self.zone))
            .thenComparing(sibling -> sibling.address));
        return chosen;
    }

    public Sibling at(final String address) {
        return siblings.get(address);
    }

    /** The zone of an address, empty when it is not known. */
    public String zoneAt(final String address) {
        final Sibling sibling = address.equals(self.address) ? self : siblings.get(address);
        return sibling == null ? "" : sibling.zone;
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
        self.standing = Sibling.LEFT;
        self.ready = false;
        raise(self.number + 1);
        for (final Sibling sibling : siblings.values()) {
            if (sibling.up() && sibling.zone.equals(self.zone)) {
                send(sibling.address, new Echo());
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

    /** Who explains why a sibling may be away: planned work, or null for none. */
    public void planned(final Function<Sibling, String> explainer) {
        planned = explainer;
    }

    private String about(final Sibling sibling) {
        final String work = planned.apply(sibling);
        return sibling.node + " " + sibling.duty + (work == null ? "" : " planned: " + work);
    }

    void suspect(final String address) {
        final Sibling sibling = siblings.get(address);
        if (sibling != null && sibling.standing == Sibling.UP) {
            Event.SIBLING_SUSPECT.info(about(sibling));
            change(sibling, Sibling.SUSPECT);
            tellSuspect(sibling);
        }
    }

    /** Told at once and again, so that it can refute before the time is over though datagrams get lost. */
    private void tellSuspect(final Sibling sibling) {
        if (siblings.get(sibling.address) == sibling && sibling.standing == Sibling.SUSPECT && !left) {
            send(sibling.address, new Echo());
            pulse.after(SUSPECT_MS / 4, () -> tellSuspect(sibling));
        }
    }

    private void change(final Sibling sibling, final int standing) {
        sibling.standing = standing;
        changedMs.put(sibling.address, pulse.nowMs());
        tell(sibling.address);
    }

    void sweep() {
        final long nowMs = pulse.nowMs();
        for (final Iterator<Sibling> each = siblings.values().iterator(); each.hasNext();) {
            final Sibling sibling = each.next();
            final long sinceMs = nowMs - changedMs.getOrDefault(sibling.address, nowMs);
            if (sibling.standing == Sibling.SUSPECT && sinceMs > SUSPECT_MS) {
                Event.SIBLING_GONE.info(about(sibling));
                change(sibling, Sibling.GONE);
            } else if (!sibling.up() && sinceMs > GONE_MS) {
                each.remove();
                changedMs.remove(sibling.address);
            }
        }
    }

    void send(final String address, final Letter letter) {
        letter.self = self.copy();
        // Whoever is thought to be away hears so first: a restarted or wrongly suspected one then refutes it.
        final Sibling receiver = siblings.get(address);
        if (receiver != null && receiver.standing != Sibling.UP) {
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
            final Sibling known = siblings.get(about);
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

    private void hear(final Sibling news, final boolean passedOn) {
        if (news.address.equals(self.address)) {
            // News of an earlier life, or a suspicion: refuted by a higher number.
            if (!left && news.number >= self.number && (news.life != self.life || news.standing != Sibling.UP)) {
                raise(news.number + 1);
            }
            return;
        }
        final Sibling known = siblings.get(news.address);
        if (known == null) {
            // Someone unknown who is gone already is no news.
            if (news.up()) {
                siblings.put(news.address, news);
                changedMs.put(news.address, pulse.nowMs());
                if (passedOn) {
                    tell(news.address);
                }
                Event.SIBLING_JOINED.info(news.node + " " + news.duty);
            }
        } else if (news.over(known)) {
            siblings.put(news.address, news);
            change(news, news.standing);
        }
    }
}
