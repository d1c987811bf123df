package yewjunction.doctor;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.Proxy;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.ZonedDateTime;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeParseException;

/** One HTTP request to an address, with a time limit. */
final class HttpProbe {
  private final int timeoutMs;

  HttpProbe(final int timeoutMs) {
    this.timeoutMs = timeoutMs;
  }

  /**
   * What came back; status -1 for nothing. Clock: ms by which the far clock is ahead, null when not
   * told.
   */
  record Response(int status, String body, Long clockMs) {}

  Response get(final String address, final String path) {
    try {
      final HttpURLConnection link =
          (HttpURLConnection)
              URI.create("http://" + address + path).toURL().openConnection(Proxy.NO_PROXY);
      link.setConnectTimeout(timeoutMs);
      link.setReadTimeout(timeoutMs);
      link.setInstanceFollowRedirects(false);
      final int status = link.getResponseCode();
      final byte[] body = status >= 400 ? new byte[0] : link.getInputStream().readAllBytes();
      return new Response(
          status, new String(body, StandardCharsets.UTF_8), clock(link.getHeaderField("Date")));
    } catch (final IOException | IllegalArgumentException failure) {
      return new Response(-1, String.valueOf(failure.getMessage()), null);
    }
  }

  private static Long clock(final String date) {
    try {
      return date == null
          ? null
          : ZonedDateTime.parse(date, DateTimeFormatter.RFC_1123_DATE_TIME)
                  .toInstant()
                  .toEpochMilli()
              - System.currentTimeMillis();
    } catch (final DateTimeParseException failure) {
      return null;
    }
  }
}
