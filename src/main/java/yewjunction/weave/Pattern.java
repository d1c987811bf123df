package yewjunction.weave;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import yewjunction.weave.Presence.Absence;

/** A whole state (v, w) on the wire: each client named once, numbers short, all deflated. */
record Pattern(Map<String, Map<String, Map<Long, Long>>> active, Map<Long, Long> observed, Map<Long, Absence> absences) {
    static byte[] pack(final Map<String, Map<String, Map<Long, Long>>> active, final Map<Long, Long> observed,
            final Map<Long, Absence> absences) {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        final Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try (DataOutputStream out = new DataOutputStream(new BufferedOutputStream(new DeflaterOutputStream(bytes, deflater, 4096), 4096))) {
            final Names names = new Names();
            number(out, observed.size());
            for (final Map.Entry<Long, Long> one : observed.entrySet()) {
                number(out, one.getKey());
                number(out, one.getValue());
            }
            number(out, active.size());
            for (final Map.Entry<String, Map<String, Map<Long, Long>>> topic : active.entrySet()) {
                out.writeUTF(topic.getKey());
                number(out, topic.getValue().size());
                for (final Map.Entry<String, Map<Long, Long>> client : topic.getValue().entrySet()) {
                    names.write(out, client.getKey());
                    number(out, client.getValue().size());
                    for (final Map.Entry<Long, Long> one : client.getValue().entrySet()) {
                        number(out, one.getKey());
                        number(out, one.getValue());
                    }
                }
            }
            number(out, absences.size());
            for (final Map.Entry<Long, Absence> one : absences.entrySet()) {
                number(out, one.getKey());
                number(out, one.getValue().number());
                number(out, one.getValue().clients().size());
                for (final String client : one.getValue().clients()) {
                    names.write(out, client);
                }
            }
        } catch (final IOException defect) {
            throw new UncheckedIOException(defect);
        } finally {
            deflater.end();
        }
        return bytes.toByteArray();
    }

    static Pattern unpack(final byte[] packed) {
        final Pattern pattern = new Pattern(new HashMap<>(), new HashMap<>(), new HashMap<>());
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(new InflaterInputStream(new ByteArrayInputStream(packed)), 4096))) {
            final List<String> names = new ArrayList<>();
            for (long left = number(in); left > 0; left--) {
                pattern.observed.put(number(in), number(in));
            }
            for (long topics = number(in); topics > 0; topics--) {
                final Map<String, Map<Long, Long>> ofTopic = new HashMap<>();
                pattern.active.put(in.readUTF(), ofTopic);
                for (long clients = number(in); clients > 0; clients--) {
                    final Map<Long, Long> instances = new HashMap<>(2);
                    ofTopic.put(name(in, names), instances);
                    for (long left = number(in); left > 0; left--) {
                        instances.put(number(in), number(in));
                    }
                }
            }
            for (long left = number(in); left > 0; left--) {
                final long replica = number(in);
                final long version = number(in);
                final Set<String> clients = new HashSet<>();
                for (long count = number(in); count > 0; count--) {
                    clients.add(name(in, names));
                }
                pattern.absences.put(replica, new Absence(version, clients));
            }
        } catch (final IOException defect) {
            throw new UncheckedIOException(defect);
        }
        return pattern;
    }

    /** Writes a name in full the first time, then its number. */
    private static final class Names {
        private final Map<String, Integer> known = new HashMap<>();

        void write(final DataOutputStream out, final String name) throws IOException {
            final Integer place = known.get(name);
            if (place != null) {
                number(out, place + 1);
                return;
            }
            known.put(name, known.size());
            number(out, 0);
            out.writeUTF(name);
        }
    }

    private static String name(final DataInputStream in, final List<String> names) throws IOException {
        final long place = number(in);
        if (place > 0) {
            return names.get((int) place - 1);
        }
        final String name = in.readUTF();
        names.add(name);
        return name;
    }

    private static void number(final DataOutputStream out, final long value) throws IOException {
        long left = value;
        while (left >= 0x80) {
            out.write((int) (left & 0x7f | 0x80));
            left >>>= 7;
        }
        out.write((int) left);
    }

    private static long number(final DataInputStream in) throws IOException {
        long value = 0;
        for (int shift = 0; shift < 64; shift += 7) {
            final int piece = in.readUnsignedByte();
            value |= (long) (piece & 0x7f) << shift;
            if (piece < 0x80) {
                return value;
            }
        }
        throw new IOException("number too long");
    }
}
