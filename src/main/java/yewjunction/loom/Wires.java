package yewjunction.loom;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import yewjunction.base.Codec;
import yewjunction.base.Link;
import yewjunction.base.Post;

import static yewjunction.base.Limits.BACKLOG;
import static yewjunction.base.Limits.LINK_BEAT_MS;

/** All peer links of a process over TCP. */
public class Wires implements Post {
    private final Loom loom;
    private final Codec codec;
    private final InetSocketAddress own;
    private final Map<String, Wire> dialled = new HashMap<>();
    private final Set<Wire> wires = new HashSet<>();
    private final Map<Class<?>, BiConsumer<Link, Object>> handlers = new HashMap<>();
    private final List<Consumer<Link>> closers = new ArrayList<>();

    public Wires(final Loom loom, final Codec codec, final InetSocketAddress own) {
        this.loom = loom;
        this.codec = codec;
        this.own = own;
        try {
            final ServerSocketChannel server = ServerSocketChannel.open();
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            server.bind(own, BACKLOG);
            server.configureBlocking(false);
            server.register(loom.selector(), SelectionKey.OP_ACCEPT, (Loom.Taker) key -> take(server));
        } catch (final IOException defect) {
            throw new UncheckedIOException("cannot listen for peers on " + own, defect);
        }
        loom.every(LINK_BEAT_MS / 2, this::beat);
    }

    private void take(final ServerSocketChannel server) throws IOException {
        SocketChannel channel;
        while ((channel = server.accept()) != null) {
            wires.add(new Wire(this, loom, codec, channel, null));
        }
    }

    private void beat() {
        final long nowMs = loom.nowMs();
        for (final Wire wire : new ArrayList<>(wires)) {
            wire.beat(nowMs);
        }
    }

    @Override
    public Link dial(final String address) {
        final Wire known = dialled.get(address);
        if (known != null && known.open()) {
            return known;
        }
        Wire wire = null;
        SocketChannel channel = null;
        try {
            channel = channel();
            // The own address as source: the platform's links belong to the machine's address.
            channel.bind(new InetSocketAddress(own.getAddress(), 0));
            wire = new Wire(this, loom, codec, channel, address);
            wires.add(wire);
            dialled.put(address, wire);
            wire.connect();
        } catch (final IOException defect) {
            if (wire == null) {
                // No descriptor is left, perhaps: a link that broke at once. Whoever dialled has more to do in this turn.
                shut(channel);
                final Link lost = new LostLink(address);
                loom.post(() -> closers.forEach(closer -> closer.accept(lost)));
                return lost;
            }
            wire.close();
        }
        return wire;
    }

    private static void shut(final SocketChannel channel) {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (final IOException ignored) {
            // It was of no use anyway.
        }
    }

    SocketChannel channel() throws IOException {
        return SocketChannel.open();
    }

    /** A link that never was open. */
    private static final class LostLink implements Link {
        private final String remote;

        LostLink(final String remote) {
            this.remote = remote;
        }

        @Override
        public String remote() {
            return remote;
        }

        @Override
        public boolean send(final Object letter) {
            return false;
        }

        @Override
        public boolean open() {
            return false;
        }

        @Override
        public void close() {
            // Nothing to close.
        }
    }

    @Override
    public <T> void on(final Class<T> kind, final BiConsumer<Link, T> handler) {
        handlers.put(kind, (link, letter) -> handler.accept(link, kind.cast(letter)));
    }

    @Override
    public void onClose(final Consumer<Link> handler) {
        closers.add(handler);
    }

    void deliver(final Wire wire, final Object letter) {
        final BiConsumer<Link, Object> handler = handlers.get(letter.getClass());
        if (handler != null) {
            handler.accept(wire, letter);
        }
    }

    void gone(final Wire wire) {
        wires.remove(wire);
        if (wire.dialledAddress() != null) {
            dialled.remove(wire.dialledAddress(), wire);
        }
        // Told on a later turn, so that nobody's table changes while it is being walked.
        loom.post(() -> closers.forEach(closer -> closer.accept(wire)));
    }
}
