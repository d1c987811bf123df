package yewjunction.app;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.agrona.concurrent.AgentRunner;
import org.agrona.concurrent.NoOpIdleStrategy;
import sun.misc.Signal;
import yewjunction.base.Codec;
import yewjunction.base.Defect;
import yewjunction.base.Event;
import yewjunction.loom.Addresses;
import yewjunction.loom.Datagrams;
import yewjunction.loom.Loom;
import yewjunction.loom.Wires;
import yewjunction.roster.Roster;
import yewjunction.roster.Sibling;
import yewjunction.settings.Settings;

import static yewjunction.base.Limits.SETTINGS_LOOK_MS;

/** What all processes share: the agent, sibling links, the roster, signals, the settings file. */
abstract class Process {
    final Settings settings;
    final Loom loom;
    final Wires wires;
    final Roster roster;
    final String address;
    final long life;
    private final Path file;
    private final CountDownLatch ended = new CountDownLatch(1);
    private long fileMs;
    private boolean stopping;

    Process(final Path file, final Settings settings, final String duty, final int offset) {
        this.file = file;
        this.settings = settings;
        address = settings.address(offset);
        // Drawn anew at each start: tells two lives at one address apart.
        life = new java.security.SecureRandom().nextLong() >>> 1;
        loom = new Loom(life ^ System.nanoTime());
        final Codec codec = new Codec();
        yewjunction.ledger.Letters.know(codec);
        yewjunction.roster.Letters.know(codec);
        yewjunction.charter.Letters.know(codec);
        yewjunction.vault.Letters.know(codec);
        yewjunction.herald.Letters.know(codec);
        wires = new Wires(loom, codec, Addresses.parse(address));
        final Sibling self = new Sibling();
        self.address = address;
        self.node = settings.node();
        self.zone = settings.zone();
        self.duty = duty;
        self.front = settings.front();
        self.life = life;
        final Datagrams datagrams = new Datagrams(loom, codec, Addresses.parse(address));
        roster = new Roster(loom, self, datagrams::send);
        datagrams.onLetter(roster::take);
        fileMs = fileTime();
    }

    /** Runs until told to stop. */
    final int run() {
        final AgentRunner runner = new AgentRunner(NoOpIdleStrategy.INSTANCE, defect -> Event.TURN_DEFECT.warn("loom", defect),
            null, loom);
        Signal.handle(new Signal("TERM"), signal -> loom.post(this::stopOnce));
        Signal.handle(new Signal("INT"), signal -> loom.post(this::stopOnce));
        Signal.handle(new Signal("HUP"), signal -> loom.post(this::reread));
        loom.post(() -> {
            roster.start(settings.coreAddresses());
            start();
            Event.STARTED.info(settings.node() + " " + settings.role());
        });
        loom.every(SETTINGS_LOOK_MS, () -> {
            if (fileTime() != fileMs) {
                reread();
            }
        });
        AgentRunner.startOnThread(runner);
        try {
            ended.await();
        } catch (final InterruptedException defect) {
            Thread.currentThread().interrupt();
        }
        return Main.EXIT_OK;
    }

    abstract void start();

    /** Gives up duties; calls end when nothing is owed any more. */
    abstract void stop();

    void reread(final Settings fresh) {
        roster.seeds(fresh.coreAddresses());
    }

    private void stopOnce() {
        if (!stopping) {
            stopping = true;
            Event.STOPPING.info(settings.node() + " " + settings.role());
            stop();
        }
    }

    final void end() {
        roster.leave();
        Event.STOPPED.info(settings.node() + " " + settings.role());
        // One more turn, so that what was written in this one leaves.
        loom.after(20, ended::countDown);
    }

    private long fileTime() {
        try {
            return Files.getLastModifiedTime(file).toMillis();
        } catch (final IOException defect) {
            return fileMs;
        }
    }

    private void reread() {
        fileMs = fileTime();
        try {
            reread(Settings.load(file));
            Event.SETTINGS_REREAD.info(file.toString());
        } catch (final Defect defect) {
            // The settings in force stay: a bad file must not stop a node that works.
            Event.SETTINGS_BAD.warn(defect.code() + " " + defect.getMessage());
        }
    }

    /** Sibling addresses of a duty, own zone first, as the roster knows them now. */
    final List<String> addresses(final String duty) {
        return roster.up(duty).stream().map(sibling -> sibling.address).toList();
    }

    /** Cruxes, nearest first; before the roster knows any, those on the seeds' machines. */
    final List<String> cruxes() {
        final List<String> known = addresses("crux");
        return known.isEmpty() ? settings.coreAddresses() : known;
    }
}
