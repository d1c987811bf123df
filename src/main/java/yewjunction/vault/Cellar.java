package yewjunction.vault;

import io.protostuff.LinkedBuffer;
import io.protostuff.ProtostuffIOUtil;
import io.protostuff.Schema;
import io.protostuff.runtime.RuntimeSchema;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import yewjunction.base.Pulse;
import yewjunction.charter.Balance;
import yewjunction.charter.Charter;
import yewjunction.ledger.Machine;
import yewjunction.settings.Settings;

import static yewjunction.base.Limits.KEEP_SLACK_MS;
import static yewjunction.base.Limits.VAULT_SWEEP_MS;

/** The kept messages of one vault, driven by the vaults' ledger. */
public final class Cellar implements Machine {
    private static final Schema<Message> MESSAGES = RuntimeSchema.getSchema(Message.class);
    private static final Schema<Image> IMAGES = RuntimeSchema.getSchema(Image.class);
    private final Pulse pulse;
    private final Watcher watcher;
    private final TreeMap<Long, Message> byIndex = new TreeMap<>();
    private final Map<String, Shelf> byTopic = new HashMap<>();
    final Numbers numbers = new Numbers();
    final Quotas quotas;
    final Accounts accounts;
    private Charter charter;
    private long floor;

    /** A topic's messages and the index of the last one dropped. */
    private static final class Shelf {
        final ArrayDeque<Message> messages = new ArrayDeque<>();
        long floor;
    }

    static final class Image {
        List<Message> messages = new ArrayList<>();
        List<Numbers.Track> tracks = new ArrayList<>();
        List<Floor> floors = new ArrayList<>();
        long floor;
        /** Null while nobody borrows ahead. */
        Accounts.Saved accounts;
    }

    static final class Floor {
        String topic = "";
        long index;
    }

    /** Told of what is new here. */
    public interface Watcher {
        /** Whether this vault admitted it in its present leadership, so that it is counted already. */
        boolean admittedHere(Message message);

        void settledTo(long commit);

        void leaderIs(String identity, boolean self);
    }

    public Cellar(final Pulse pulse, final Watcher watcher, final Settings settings) {
        this.pulse = pulse;
        quotas = new Quotas(settings.quotaWindowS(), settings.quotaExcess(), settings.quotaSlack(), pulse.nowMs());
        this.watcher = watcher;
        accounts = new Accounts((tenant, tokens) -> quotas.continued(tenant, tokens, pulse.nowMs()));
        pulse.every(VAULT_SWEEP_MS, this::sweep);
    }

    public void charter(final Charter newCharter) {
        charter = newCharter;
        quotas.charter(newCharter);
    }

    static byte[] bytes(final Message message) {
        return ProtostuffIOUtil.toByteArray(message, MESSAGES, LinkedBuffer.allocate(512));
    }

    @Override
    public void apply(final long index, final byte[] data) {
        final Message message = MESSAGES.newMessage();
        ProtostuffIOUtil.mergeFrom(data, message, MESSAGES);
        message.index = index;
        message.atMs = pulse.nowMs();
        accounts.apply(index, message, message.atMs);
        if (message.change != null) {
            // Of the accounts alone: no client sent it, and none gets it.
            return;
        }
        numbers.accept(message.client, message.topic, message.number, message.atMs);
        if (message.stampMs == null && !watcher.admittedHere(message)) {
            quotas.count(message.tenant, message.atMs);
        }
        put(message);
    }

    private void put(final Message message) {
        byIndex.put(message.index, message);
        byTopic.computeIfAbsent(message.topic, key -> new Shelf()).messages.add(message);
    }

    /** Messages with an index above the one and up to the other, in order. */
    public Collection<Message> between(final long after, final long upTo) {
        return after >= upTo ? List.of() : byIndex.subMap(after, false, upTo, true).values();
    }

    /** A topic's messages behind a position, or null when one behind it was dropped. */
    public List<Message> behind(final String topic, final long position) {
        final Shelf shelf = byTopic.get(topic);
        if (shelf == null) {
            return List.of();
        }
        if (shelf.floor > position) {
            return null;
        }
        final List<Message> found = new ArrayList<>();
        for (final Message message : shelf.messages) {
            if (message.index > position) {
                found.add(message);
            }
        }
        return found;
    }

    /** The index of the last message that was dropped. */
    public long floor() {
        return floor;
    }

    /** What tenants that borrow ahead hold and owe here. */
    public List<Balance> balances() {
        return accounts.balances();
    }

    private void sweep() {
        final long nowMs = pulse.nowMs();
        numbers.sweep(nowMs);
        byTopic.forEach((topic, shelf) -> {
            final long keepMs = keepMs(topic);
            while (!shelf.messages.isEmpty() && nowMs - shelf.messages.peek().atMs > keepMs) {
                final Message dropped = shelf.messages.poll();
                byIndex.remove(dropped.index);
                shelf.floor = dropped.index;
                floor = Math.max(floor, dropped.index);
            }
        });
    }

    private long keepMs(final String topic) {
        final Charter.Space space = charter == null ? null : charter.space(topic);
        // Without a configuration nothing may be dropped; of a space that is gone nothing is owed.
        return charter == null ? Long.MAX_VALUE : (space == null ? 0 : space.keepMs()) + KEEP_SLACK_MS;
    }

    @Override
    public byte[] snapshot() {
        final Image image = new Image();
        image.messages.addAll(byIndex.values());
        image.tracks = numbers.all();
        image.floor = floor;
        image.accounts = accounts.saved();
        byTopic.forEach((topic, shelf) -> {
            if (shelf.floor > 0) {
                final Floor one = new Floor();
                one.topic = topic;
                one.index = shelf.floor;
                image.floors.add(one);
            }
        });
        return ProtostuffIOUtil.toByteArray(image, IMAGES, LinkedBuffer.allocate(64 << 10));
    }

    @Override
    public void restore(final long index, final byte[] state) {
        final Image image = IMAGES.newMessage();
        ProtostuffIOUtil.mergeFrom(state, image, IMAGES);
        byIndex.clear();
        byTopic.clear();
        floor = image.floor;
        final long nowMs = pulse.nowMs();
        for (final Message message : image.messages) {
            message.atMs = nowMs;
            put(message);
        }
        image.floors.forEach(one -> byTopic.computeIfAbsent(one.topic, key -> new Shelf()).floor = one.index);
        numbers.restore(image.tracks, nowMs);
        accounts.restore(image.accounts, nowMs);
        quotas.forget();
    }

    @Override
    public void leader(final String identity, final boolean self) {
        watcher.leaderIs(identity, self);
    }

    @Override
    public void settled(final long commit) {
        watcher.settledTo(commit);
    }
}
