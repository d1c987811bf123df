package yewjunction.app;

import java.nio.file.Path;
import yewjunction.charter.Crux;
import yewjunction.ledger.LocalDisk;
import yewjunction.settings.Settings;

/** The control plane. */
final class CruxProcess extends Process {
    private final Crux crux;

    CruxProcess(final Path file, final Settings settings) {
        super(file, settings, "crux", Settings.CRUX_OFFSET);
        // Two copies must outlast the losses to be borne: so many voters make a majority without them.
        crux = new Crux(loom, wires, new LocalDisk(Path.of(settings.dataFolder())), new Worker(loom), roster, address,
            2 * Math.max(1, settings.lossesBorne()) + 1);
    }

    @Override
    void start() {
        crux.start(settings.founding(), settings.coreAddresses(), Long.toHexString(life));
        roster.ready(true);
        Web.operator(settings.control(), loom, crux.desk());
    }

    @Override
    void stop() {
        crux.ledger().handOver(() -> {
            crux.ledger().stop();
            end();
        });
    }
}
