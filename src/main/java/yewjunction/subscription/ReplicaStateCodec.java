package yewjunction.subscription;

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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/**
 * Replica states and their digests as bytes: each client is named once, numbers are short, states
 * are deflated.
 */
final class ReplicaStateCodec {
  private ReplicaStateCodec() {}

  private interface BodyWriter {
    void writeTo(DataOutputStream out) throws IOException;
  }

  static byte[] encode(final Map<Long, ReplicaState> states) {
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    final Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try (DataOutputStream out =
        new DataOutputStream(
            new BufferedOutputStream(new DeflaterOutputStream(bytes, deflater, 4096), 4096))) {
      final StringTable names = new StringTable();
      number(out, states.size());
      for (final Map.Entry<Long, ReplicaState> one : states.entrySet()) {
        number(out, one.getKey());
        encode(out, names, one.getValue());
      }
    } catch (final IOException failure) {
      throw new UncheckedIOException(failure);
    } finally {
      deflater.end();
    }
    return bytes.toByteArray();
  }

  private static void encode(
      final DataOutputStream out, final StringTable names, final ReplicaState replicaState)
      throws IOException {
    number(out, replicaState.observed);
    number(out, replicaState.instances.size());
    for (final Map.Entry<String, Map<String, Long>> topic : replicaState.instances.entrySet()) {
      names.write(out, topic.getKey());
      number(out, topic.getValue().size());
      for (final Map.Entry<String, Long> client : topic.getValue().entrySet()) {
        names.write(out, client.getKey());
        number(out, client.getValue());
      }
    }
    number(out, replicaState.disconnectedVersion);
    number(out, replicaState.disconnected.size());
    for (final String client : replicaState.disconnected) {
      names.write(out, client);
    }
  }

  static Map<Long, ReplicaState> decode(final byte[] packed) {
    final Map<Long, ReplicaState> states = new LinkedHashMap<>();
    try (DataInputStream in =
        new DataInputStream(
            new BufferedInputStream(
                new InflaterInputStream(new ByteArrayInputStream(packed)), 4096))) {
      final List<String> names = new ArrayList<>();
      for (long left = number(in); left > 0; left--) {
        final ReplicaState replicaState = new ReplicaState();
        states.put(number(in), replicaState);
        replicaState.observed = number(in);
        for (long topics = number(in); topics > 0; topics--) {
          final String topic = name(in, names);
          for (long clients = number(in); clients > 0; clients--) {
            replicaState.set(topic, name(in, names), number(in));
          }
        }
        replicaState.disconnectedVersion = number(in);
        for (long clients = number(in); clients > 0; clients--) {
          replicaState.disconnected.add(name(in, names));
        }
      }
    } catch (final IOException failure) {
      throw new UncheckedIOException(failure);
    }
    return states;
  }

  /** Digests: names with eight bytes each. */
  static byte[] encodeDigests(final Map<Long, Long> marks) {
    return toBytes(
        out -> {
          number(out, marks.size());
          for (final Map.Entry<Long, Long> one : marks.entrySet()) {
            number(out, one.getKey());
            out.writeLong(one.getValue());
          }
        });
  }

  static Map<Long, Long> decodeDigests(final byte[] packed) {
    final Map<Long, Long> marks = new HashMap<>();
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(packed))) {
      for (long left = number(in); left > 0; left--) {
        marks.put(number(in), in.readLong());
      }
    } catch (final IOException failure) {
      throw new UncheckedIOException(failure);
    }
    return marks;
  }

  private static byte[] toBytes(final BodyWriter writing) {
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      writing.writeTo(out);
    } catch (final IOException failure) {
      throw new UncheckedIOException(failure);
    }
    return bytes.toByteArray();
  }

  /** Writes a name in full the first time, then its number. */
  private static final class StringTable {
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

  private static String name(final DataInputStream in, final List<String> names)
      throws IOException {
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
