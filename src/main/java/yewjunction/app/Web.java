package yewjunction.app;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import yewjunction.base.Pulse;
import yewjunction.charter.Desk;
import yewjunction.loom.Addresses;

import static yewjunction.base.Limits.CALL_MS;
import static yewjunction.base.Limits.CALL_THREADS;
import static yewjunction.base.Limits.CONFIG_BYTES;

/** The HTTP side of a process, on the JDK's own small server. */
final class Web {
    private Web() {
    }

    private static HttpServer server(final String address, final HttpHandler handler, final int threads) {
        try {
            final HttpServer server = HttpServer.create(Addresses.parse(address), 64);
            server.createContext("/", handler);
            if (threads > 0) {
                server.setExecutor(Executors.newFixedThreadPool(threads, task -> {
                    final Thread thread = new Thread(null, task, "call", 128 << 10);
                    thread.setDaemon(true);
                    return thread;
                }));
            }
            server.start();
            return server;
        } catch (final IOException defect) {
            throw new UncheckedIOException("cannot listen on " + address, defect);
        }
    }

    /** Says whether the node takes clients. */
    static void readiness(final String address, final BooleanSupplier ready) {
        server(address, exchange -> {
            final boolean known = exchange.getRequestURI().getPath().equals("/-/readyz");
            answer(exchange, !known ? 404 : ready.getAsBoolean() ? 200 : 503, "");
        }, 0);
    }

    /** The operator's calls, each handed to the owner of the tables. */
    static void operator(final String address, final Pulse pulse, final Desk desk) {
        final int port = Addresses.parse(address).getPort();
        server(address, exchange -> {
            final byte[] body = exchange.getRequestBody().readNBytes(CONFIG_BYTES + 1);
            final Desk.Request request = new Desk.Request(exchange.getRequestMethod(), exchange.getRequestURI().getPath(),
                exchange.getRequestHeaders().getFirst("Base-Version"), body);
            final CompletableFuture<Desk.Answer> promise = new CompletableFuture<>();
            pulse.post(() -> {
                try {
                    desk.take(request, promise::complete);
                } catch (final RuntimeException defect) {
                    promise.completeExceptionally(defect);
                }
            });
            Desk.Answer answer;
            try {
                answer = promise.get(CALL_MS, TimeUnit.MILLISECONDS);
            } catch (final TimeoutException | ExecutionException defect) {
                answer = new Desk.Answer(503, "{\"Err\":\"NO_ANSWER\"}", null);
            } catch (final InterruptedException defect) {
                Thread.currentThread().interrupt();
                return;
            }
            if (answer.status() == 307) {
                exchange.getResponseHeaders().set("Location",
                    "http://" + Addresses.ip(answer.leaderAddress()) + ":" + port + exchange.getRequestURI());
            }
            answer(exchange, answer.status(), answer.json());
        }, CALL_THREADS);
    }

    private static void answer(final HttpExchange exchange, final int status, final String json) throws IOException {
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
