package yewjunction.server;

import static yewjunction.limits.OperatorLimits.CALL_THREAD_IDLE_MS;
import static yewjunction.limits.OperatorLimits.MAX_CALL_THREADS;
import static yewjunction.limits.OperatorLimits.MAX_CALL_TRANSFER_S;
import static yewjunction.limits.OperatorLimits.MAX_CONFIGURATION_BYTES;
import static yewjunction.limits.OperatorLimits.MAX_DISCARDED_BODY_BYTES;
import static yewjunction.limits.OperatorLimits.MAX_READINESS_THREADS;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import yewjunction.common.AgentContext;
import yewjunction.common.LogEvent;
import yewjunction.control.OperatorApi;
import yewjunction.raft.TaskExecutor;
import yewjunction.transport.SocketAddresses;

/** The HTTP side of a process, on the JDK's own small server. */
final class HttpEndpoint {
  private static final OperatorApi.Response NO_ANSWER =
      new OperatorApi.Response(503, "{\"Err\":\"NO_ANSWER\"}", null);

  private HttpEndpoint() {}

  private static HttpServer server(
      final String address, final HttpHandler handler, final Executor pool) {
    // Read when a server is created: without these, a caller that was cut off half way would keep
    // its thread.
    System.setProperty("sun.net.httpserver.maxReqTime", String.valueOf(MAX_CALL_TRANSFER_S));
    System.setProperty("sun.net.httpserver.maxRspTime", String.valueOf(MAX_CALL_TRANSFER_S));
    try {
      final HttpServer server = HttpServer.create(SocketAddresses.parse(address), 64);
      server.createContext("/", handler);
      server.setExecutor(pool);
      server.start();
      return server;
    } catch (final IOException failure) {
      throw new UncheckedIOException("cannot listen on " + address, failure);
    }
  }

  /** Serves the readiness check: 200 when the node takes clients, else 503. */
  static HttpServer readiness(final String address, final BooleanSupplier ready) {
    // Not on the thread that accepts connections: half a request would block every later check.
    return server(
        address,
        exchange -> {
          final boolean known = exchange.getRequestURI().getPath().equals("/-/readyz");
          answer(exchange, !known ? 404 : ready.getAsBoolean() ? 200 : 503, "");
        },
        pool("ready", MAX_READINESS_THREADS));
  }

  /** Handles a call on the agent's thread; responds once, maybe later. */
  interface Owner {
    void handle(OperatorApi.Request request, Consumer<OperatorApi.Response> responder);
  }

  /**
   * Serves the operator's calls: each is handed to the agent, and a thread is held only while bytes
   * are read or written.
   */
  static HttpServer operator(final String address, final AgentContext context, final Owner owner) {
    final Executor pool = pool("call", MAX_CALL_THREADS);
    return server(
        address,
        exchange -> {
          final OperatorApi.Request request = read(exchange);
          final CompletableFuture<OperatorApi.Response> promise = new CompletableFuture<>();
          promise.thenAcceptAsync(response -> reply(exchange, response), pool);
          context.execute(
              () -> {
                context.schedule(request.callerTimeoutMs(), () -> promise.complete(NO_ANSWER));
                try {
                  owner.handle(request, promise::complete);
                } catch (final RuntimeException failure) {
                  LogEvent.UNEXPECTED_ERROR.warn("an operator's call", failure);
                  promise.complete(NO_ANSWER);
                }
              });
        },
        pool);
  }

  /** Runs the parsing of large bodies on a thread of its own. */
  static TaskExecutor reader(final AgentContext context) {
    final Executor pool = pool("reader", 1);
    return (blocking, continuation) ->
        pool.execute(
            () -> {
              try {
                blocking.run();
              } finally {
                context.execute(continuation);
              }
            });
  }

  private static Executor pool(final String name, final int threads) {
    final ThreadPoolExecutor pool =
        new ThreadPoolExecutor(
            threads,
            threads,
            CALL_THREAD_IDLE_MS,
            TimeUnit.MILLISECONDS,
            new LinkedBlockingQueue<>(),
            task -> DaemonThreads.newThread(task, name));
    pool.allowCoreThreadTimeOut(true);
    return pool;
  }

  private static OperatorApi.Request read(final HttpExchange exchange) throws IOException {
    final InputStream in = exchange.getRequestBody();
    final byte[] body = in.readNBytes(MAX_CONFIGURATION_BYTES + 1);
    final byte[] rest = new byte[16 << 10];
    for (int more = body.length;
        more > MAX_CONFIGURATION_BYTES && more < MAX_DISCARDED_BODY_BYTES; ) {
      final int count = in.read(rest);
      more = count < 0 ? MAX_DISCARDED_BODY_BYTES : more + count;
    }
    // Joined as HTTP does for a header that was sent more than once.
    final List<String> bases = exchange.getRequestHeaders().get("Base-Version");
    return new OperatorApi.Request(
        exchange.getRequestMethod(),
        exchange.getRequestURI().getPath(),
        bases == null ? null : String.join(", ", bases),
        body);
  }

  private static void reply(final HttpExchange exchange, final OperatorApi.Response response) {
    try {
      if (response.status() == 307) {
        exchange
            .getResponseHeaders()
            .set(
                "Location",
                "http://"
                    + SocketAddresses.ip(response.leaderAddress())
                    + ":"
                    + exchange.getLocalAddress().getPort()
                    + exchange.getRequestURI());
      }
      answer(exchange, response.status(), response.json());
    } catch (final IOException failure) {
      // The caller has gone.
      exchange.close();
    }
  }

  private static void answer(final HttpExchange exchange, final int status, final String json)
      throws IOException {
    final byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
    if (bytes.length > 0) {
      exchange.getResponseHeaders().set("Content-Type", "application/json");
    }
    exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    try (OutputStream out = exchange.getResponseBody()) {
      out.write(bytes);
    }
    exchange.close();
  }
}
