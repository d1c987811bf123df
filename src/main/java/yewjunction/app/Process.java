package yewjunction.app;

import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.IntConsumer;
import org.agrona.concurrent.AgentRunner;
import org.agrona.concurrent.NoOpIdleStrategy;
import yewjunction.base.Codec;
import yewjunction.base.Defect;
import yewjunction.base.Event;
import yewjunction.loom.Addresses;
import yewjunction.loom.Datagrams;
import yewjunction.ledger.Disk;
import yewjunction.ledger.LocalDisk;
import yewjunction.ledger.PassingDisk;
import yewjunction.loom.Loom;
import yewjunction.loom.SocketLine;
import yewjunction.loom.Wires;
import yewjunction.node.CruxNode;
import yewjunction.node.EdgeNode;
import yewjunction.node.Node;
import yewjunction.node.VaultNode;
import yewjunction.roster.Roster;
import yewjunction.roster.Peer;
import yewjunction.settings.Settings;
import yewjunction.window.Windows;

import static yewjunction.base.Limits.SETTINGS_LOOK_MS;

/** What all processes share: the agent, peer links, the roster, signals, the settings file. */
final class Process {
    private final Settings settings;
    private final Loom loom;
    private final Roster roster;
    private final Node node;
    /** What a process is for. */
    enum Duty { TIDE, VAULT, CRUX }

    private final SettingsFile file;
    private final CountDownLatch ended = new CountDownLatch(1);
    private Signals signals = new Signals();
    private String calendar;
    private boolean stopping;
    /** Written by the owner before it ends, read by whoever awaited that. */
    private RuntimeException startDefect;

    Process(final SettingsFile file, final Settings settings, final Duty duty) {
        this.file = file;
        this.settings = settings;
        final String address = settings.address(duty == Duty.CRUX ? Settings.CRUX_OFFSET : Settings.TIDE_OFFSET);
        // Drawn anew at each start: tells two lives at one address apart.
        final long life = new java.security.SecureRandom().nextLong() >>> 1;
        loom = new Loom(life ^ System.nanoTime());
        final Codec codec = new Codec();
        yewjunction.ledger.Letters.know(codec);
        yewjunction.roster.Letters.know(codec);
        yewjunction.charter.Letters.know(codec);
        yewjunction.vault.Letters.know(codec);
        yewjunction.herald.Letters.know(codec);
        final Wires wires = new Wires(loom, codec, Addresses.parse(address));
        final Peer self = new Peer();
        self.address = address;
        self.node = settings.node();
        self.zone = settings.zone();
        self.duty = duty.name().toLowerCase(java.util.Locale.ROOT);
        self.front = settings.front();
        self.life = life;
        self.begin(System.currentTimeMillis());
        final Datagrams datagrams = new Datagrams(loom, codec, Addresses.parse(address));
        roster = new Roster(loom, self, datagrams::send);
        datagrams.onLetter(roster::take);
        node = switch (duty) {
            case CRUX -> new CruxNode(loom, wires, disk(), worker(), roster, settings, life);
            case VAULT -> new VaultNode(loom, wires, disk(), worker(), roster, settings, life);
            case TIDE -> new EdgeNode(loom, wires, roster, settings, life);
        };
    }

    private Worker worker() {
        return new Worker(loom, Runtime.getRuntime()::halt);
    }

    /** Whose signals it takes; those of a process of its own. */
    Process signalled(final Signals chosenSignals) {
        signals = chosenSignals;
        return this;
    }

    /** Planned work from calendar files; read again with the settings. */
    Process planned(final String chosenCalendar) {
        calendar = chosenCalendar;
        readCalendar();
        return this;
    }

    private void readCalendar() {
        if (calendar != null) {
            final Windows windows = Windows.read(Path.of(calendar));
            windows.bad().forEach(Event.CALENDAR_BAD::warn);
            roster.planned(peer -> windows.explains(Instant.now(), List.of(peer.node, peer.zone)));
        }
    }

    private Disk disk() {
        return settings.dataFolder().isEmpty() ? new PassingDisk() : new LocalDisk(Path.of(settings.dataFolder()));
    }

    /** Opens the doors to the outside that this duty has. */
    private void listen() {
        if (node instanceof CruxNode crux) {
            crux.desk().readBy(Web.reader(loom));
            Web.operator(settings.control(), loom, crux.desk()::take);
        } else if (node instanceof EdgeNode edge) {
            SocketLine.listen(loom, Addresses.parse(settings.front()), edge::greet);
            Web.readiness(settings.ready(), edge::ready);
        }
    }

    /** Runs until told to stop. */
    int run() {
        final AgentRunner runner = new AgentRunner(NoOpIdleStrategy.INSTANCE,
            defect -> broken(defect, Runtime.getRuntime()::halt), null, loom);
        loom.post(this::start);
        // Behind the start: a signal that came early finds a process that has started.
        signals.deliver(kind -> loom.post(kind == Signals.Kind.STOP ? this::stopOnce : this::hungUp));
        loom.every(SETTINGS_LOOK_MS, () -> {
            if (file.due()) {
                reread();
            }
        });
        AgentRunner.startOnThread(runner);
        try {
            ended.await();
        } catch (final InterruptedException defect) {
            Thread.currentThread().interrupt();
        }
        if (startDefect != null) {
            throw startDefect;
        }
        return Main.EXIT_OK;
    }

    private void start() {
        try {
            roster.start(settings.coreAddresses());
            node.start();
            listen();
            Event.STARTED.info(settings.node() + " " + settings.role());
        } catch (final RuntimeException defect) {
            // A process without its doors serves nobody, and nobody would notice: it ends and says why.
            stopping = true;
            startDefect = defect;
            ended.countDown();
        }
    }

    /** What one turn can't contain: after an error tables may be half changed, and only the disk says what was promised. */
    static void broken(final Throwable defect, final IntConsumer ending) {
        try {
            Event.TURN_DEFECT.warn("loom", defect);
        } finally {
            if (defect instanceof Error) {
                ending.accept(Main.EXIT_DEFECT);
            }
        }
    }

    private void stopOnce() {
        if (!stopping) {
            stopping = true;
            Event.STOPPING.info(settings.node() + " " + settings.role());
            try {
                node.stop(this::end);
            } catch (final RuntimeException defect) {
                // What it could not give up in order ends as by a kill, and at once rather than after the platform's grace.
                Event.TURN_DEFECT.warn("stop", defect);
                end();
            }
        }
    }

    private void end() {
        // One more turn, so that what is written in this one leaves; armed first, so that it ends whatever fails here.
        loom.after(20, ended::countDown);
        roster.leave();
        Event.STOPPED.info(settings.node() + " " + settings.role());
    }

    private void hungUp() {
        file.lookAgain();
        reread();
    }

    private void reread() {
        try {
            final Settings fresh = file.load();
            roster.seeds(fresh.coreAddresses());
            node.reread(fresh);
            readCalendar();
            Event.SETTINGS_REREAD.info(file.toString());
        } catch (final Defect defect) {
            // The settings in force stay: a bad file must not stop a node that works.
            Event.SETTINGS_BAD.warn(defect.code() + " " + defect.getMessage());
        }
    }
}
