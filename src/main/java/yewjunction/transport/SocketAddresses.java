package yewjunction.transport;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Text and addresses, without any name look-up. */
public final class SocketAddresses {
  private SocketAddresses() {}

  /**
   * Reads {@code ip:port} without any name look-up.
   *
   * @throws IllegalArgumentException for anything else
   */
  public static InetSocketAddress parse(final String text) {
    final int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("not ip:port: " + text);
    }
    return new InetSocketAddress(
        address(text.substring(0, colon)), Integer.parseInt(text.substring(colon + 1)));
  }

  /**
   * Reads an IPv4 address without any name look-up.
   *
   * @throws IllegalArgumentException for anything else
   */
  public static InetAddress address(final String ip) {
    // Only four numbers are taken: a name would need a lookup, and there is no name server.
    final String[] parts = ip.split("\\.", -1);
    if (parts.length != 4) {
      throw new IllegalArgumentException("not an IPv4 number: " + ip);
    }
    final byte[] bytes = new byte[4];
    for (int i = 0; i < 4; i++) {
      final int part = Integer.parseInt(parts[i]);
      if (part < 0 || part > 255) {
        throw new IllegalArgumentException("not an IPv4 number: " + ip);
      }
      bytes[i] = (byte) part;
    }
    try {
      return InetAddress.getByAddress(bytes);
    } catch (final UnknownHostException failure) {
      throw new IllegalArgumentException(ip, failure);
    }
  }

  /** The form {@code ip:port}. */
  public static String text(final InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** The part before the port. */
  public static String ip(final String address) {
    return address.substring(0, address.lastIndexOf(':'));
  }
}
