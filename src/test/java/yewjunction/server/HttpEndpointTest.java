package yewjunction.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static yewjunction.limits.OperatorLimits.MAX_CONFIGURATION_BYTES;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import yewjunction.common.AgentContext;
import yewjunction.control.OperatorApi;

/** The operators' HTTP endpoint: calls that wait for a majority hold up no others. */
class HttpEndpointTest {
  private static final int CALLS = 40;
  private final ExecutorService owner = Executors.newSingleThreadExecutor();
  private final HttpClient client = HttpClient.newHttpClient();
  private final LinkedBlockingQueue<Runnable> alarms = new LinkedBlockingQueue<>();
  private final List<Consumer<OperatorApi.Response>> held = new ArrayList<>();
  private CountDownLatch waiting = new CountDownLatch(CALLS);
  private HttpServer server;

  /** Time passes when the test says so. */
  private final AgentContext context =
      new AgentContext() {
        @Override
        public long nowMs() {
          return 0;
        }

        @Override
        public void schedule(final long delayMs, final Runnable task) {
          alarms.add(task);
        }

        @Override
        public void execute(final Runnable command) {
          owner.execute(command);
        }

        @Override
        public Random random() {
          return new Random(1);
        }
      };

  @AfterEach
  void close() {
    server.stop(0);
    owner.shutdownNow();
  }

  /** Holds what is to be held; else tells what it was asked. */
  private void take(
      final OperatorApi.Request request, final Consumer<OperatorApi.Response> responder) {
    if (request.path().equals("/hold")) {
      held.add(responder);
      waiting.countDown();
    } else if (request.path().equals("/break")) {
      throw new IllegalStateException("planted");
    } else {
      responder.accept(
          new OperatorApi.Response(
              200, "[" + request.baseVersion() + "]" + request.body().length, null));
    }
  }

  private HttpRequest.Builder to(final String path) {
    return HttpRequest.newBuilder(
        URI.create("http://127.0.0.1:" + server.getAddress().getPort() + path));
  }

  private String ask(final HttpRequest.Builder request) throws IOException, InterruptedException {
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString()).body();
  }

  private List<CompletableFuture<HttpResponse<String>>> hold(final int count) {
    final List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
    for (int call = 0; call < count; call++) {
      calls.add(client.sendAsync(to("/hold").build(), HttpResponse.BodyHandlers.ofString()));
    }
    return calls;
  }

  @Test
  void callsThatWaitHoldUpNoOthers() throws Exception {
    server = HttpEndpoint.operator("127.0.0.1:0", context, this::take);
    final List<CompletableFuture<HttpResponse<String>>> calls = hold(CALLS);
    assertTrue(
        waiting.await(20, TimeUnit.SECONDS), waiting.getCount() + " calls never came to the owner");
    assertEquals("[null]0", ask(to("/look")));
    owner
        .submit(
            () ->
                held.forEach(
                    responder -> responder.accept(new OperatorApi.Response(200, "held", null))))
        .get();
    for (final CompletableFuture<HttpResponse<String>> call : calls) {
      assertEquals("held", call.get(20, TimeUnit.SECONDS).body());
    }
  }

  /** The planted fault: each call keeps its thread until it is answered. */
  @Test
  void callsThatKeepTheirThreadsAreFound() throws Exception {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
    final CountDownLatch over = new CountDownLatch(1);
    server.createContext(
        "/",
        exchange -> {
          waiting.countDown();
          try {
            over.await();
          } catch (final InterruptedException failure) {
            Thread.currentThread().interrupt();
          }
          exchange.close();
        });
    final ExecutorService threads = Executors.newFixedThreadPool(16);
    server.setExecutor(threads);
    server.start();
    hold(CALLS);
    assertFalse(waiting.await(500, TimeUnit.MILLISECONDS));
    over.countDown();
    threads.shutdownNow();
  }

  @Test
  void aCallWithoutAResponseEndsWhenItsTimeIsOver() throws Exception {
    server = HttpEndpoint.operator("127.0.0.1:0", context, this::take);
    waiting = new CountDownLatch(1);
    final CompletableFuture<HttpResponse<String>> call = hold(1).get(0);
    assertTrue(waiting.await(20, TimeUnit.SECONDS));
    alarms.take().run();
    assertEquals(503, call.get(20, TimeUnit.SECONDS).statusCode());
    // An answer that comes after that goes nowhere, and the next call is served.
    owner.submit(() -> held.get(0).accept(new OperatorApi.Response(200, "late", null))).get();
    assertEquals("[null]0", ask(to("/look")));
    assertEquals(
        503, client.send(to("/break").build(), HttpResponse.BodyHandlers.ofString()).statusCode());
    assertEquals("[null]0", ask(to("/look")));
  }

  @Test
  void theOwnerSeesAHeaderAsOftenAsItCame() throws Exception {
    server = HttpEndpoint.operator("127.0.0.1:0", context, this::take);
    assertEquals("[5]0", ask(to("/look").header("base-version", "5")));
    assertEquals(
        "[5, 5]0", ask(to("/look").header("Base-Version", "5").header("Base-Version", "5")));
    assertEquals(
        "[5, 6]0", ask(to("/look").header("Base-Version", "5").header("base-version", "6")));
    // More than the most is seen as just that, and read to its end, so that its sender reads the
    // answer.
    assertEquals(
        "[null]" + (MAX_CONFIGURATION_BYTES + 1),
        ask(
            to("/look")
                .POST(
                    HttpRequest.BodyPublishers.ofByteArray(
                        new byte[5 * MAX_CONFIGURATION_BYTES]))));
  }

  @Test
  void theReaderComesBackAlsoFromAnException() throws Exception {
    server = HttpEndpoint.operator("127.0.0.1:0", context, this::take);
    final CountDownLatch back = new CountDownLatch(2);
    final var executor = HttpEndpoint.reader(context);
    executor.execute(
        () -> {
          throw new IllegalStateException("planted");
        },
        back::countDown);
    executor.execute(() -> {}, back::countDown);
    assertTrue(back.await(20, TimeUnit.SECONDS));
  }

  /**
   * A caller that was cut off half way holds a thread, and later looks are answered all the same.
   */
  @Test
  void halfARequestHoldsUpNoLaterLook() throws Exception {
    server = HttpEndpoint.readiness("127.0.0.1:0", () -> true);
    final int port = server.getAddress().getPort();
    try (java.net.Socket half = new java.net.Socket("127.0.0.1", port)) {
      half.getOutputStream()
          .write("GET /-/re".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
      half.getOutputStream().flush();
      for (int look = 0; look < 3; look++) {
        final HttpResponse<String> response =
            client
                .sendAsync(
                    HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/-/readyz"))
                        .build(),
                    HttpResponse.BodyHandlers.ofString())
                .get(10, TimeUnit.SECONDS);
        assertEquals(200, response.statusCode());
      }
    }
  }
}
