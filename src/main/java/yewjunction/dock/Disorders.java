package yewjunction.dock;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import yewjunction.base.Event;
import yewjunction.charter.Disorder;

import static yewjunction.base.Limits.DISORDER_CHANNELS;

/** Breaks of the declared order that this edge met since its start, by channel. */
public final class Disorders {
    /** Where all further channels are counted together. */
    private static final String OTHERS = "*";
    private final Map<String, Disorder> byTopic = new TreeMap<>();

    private Disorder of(final String topic) {
        final String key = byTopic.containsKey(topic) || byTopic.size() < DISORDER_CHANNELS ? topic : OTHERS;
        return byTopic.computeIfAbsent(key, name -> {
            final Disorder fresh = new Disorder();
            fresh.topic = name;
            return fresh;
        });
    }

    void broken(final String topic, final String client, final String breach) {
        of(topic).breaks++;
        Event.ORDER_BROKEN.warn(topic + " to " + client + ": " + breach);
    }

    /** What the client lacks is no longer kept: nothing can close the gap behind its cursor. */
    void gap(final String topic, final String client, final long position) {
        of(topic).gaps++;
        Event.ORDER_GAP.info(topic + " to " + client + ": nothing kept reaches back to " + position);
    }

    public List<Disorder> all() {
        return new ArrayList<>(byTopic.values());
    }
}
