import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.URLDecoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A small HTTP server and client on loopback addresses. */
final class Http {
    private Http() {}

    static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    static final class Reply {
        final int status;
        final Map<String, Object> body;
        String retryAfter;

        Reply(int status, Map<String, Object> body) {
            this.status = status;
            this.body = body;
        }
    }

    /** Handles one request; null means that there is no answer: the connection is closed. */
    interface Handler {
        Reply handle(String method, String path, Map<String, String> query, byte[] body) throws Exception;
    }

    static HttpServer serve(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 512);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> answer(exchange, handler));
        server.start();
        return server;
    }

    private static void answer(HttpExchange exchange, Handler handler) throws IOException {
        try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            Map<String, String> query = new HashMap<>();
            String raw = exchange.getRequestURI().getRawQuery();
            if (raw != null) {
                for (String part : raw.split("&")) {
                    int at = part.indexOf('=');
                    if (at > 0) query.put(part.substring(0, at), URLDecoder.decode(part.substring(at + 1), StandardCharsets.UTF_8));
                }
            }
            Reply reply = handler.handle(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body);
            if (reply == null) return;
            byte[] bytes = reply.body == null ? new byte[0] : Wire.pack(reply.body);
            exchange.sendResponseHeaders(reply.status, bytes.length == 0 ? -1 : bytes.length);
            if (bytes.length > 0) exchange.getResponseBody().write(bytes);
        } catch (IOException e) {
            // The client has gone.
        } catch (Exception e) {
            Log.line("rig", "exception " + e + " at " + exchange.getRequestURI());
            e.printStackTrace();
        } finally {
            exchange.close();
        }
    }

    static HttpClient newClient() {
        return HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofMillis(500)).executor(THREADS).build();
    }

    private static final HttpClient CLIENT = newClient();

    static Reply call(int port, String method, String path, Map<String, Object> body, long timeoutMs) {
        return call(CLIENT, port, method, path, body, timeoutMs);
    }

    /** Null if there was no answer. */
    static Reply call(HttpClient client, int port, String method, String path, Map<String, Object> body, long timeoutMs) {
        HttpRequest.BodyPublisher publisher =
            body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofByteArray(Wire.pack(body));
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .timeout(Duration.ofMillis(timeoutMs)).method(method, publisher).build();
        try {
            HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
            Reply reply = new Reply(response.statusCode(), response.body().length == 0 ? null : Wire.unpackMap(response.body()));
            reply.retryAfter = response.headers().firstValue("Retry-After").orElse(null);
            return reply;
        } catch (IOException | IllegalStateException e) {
            return null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }

    static List<Integer> freePorts(int count) throws IOException {
        // Below the ports that systems give to outgoing connections, so that none takes the port of a controller that is down.
        List<Integer> ports = new ArrayList<>();
        java.util.Random random = new java.util.Random();
        while (ports.size() < count) {
            int port = 12_000 + random.nextInt(18_000);
            if (ports.contains(port)) continue;
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress("127.0.0.1", port));
                ports.add(port);
            } catch (IOException e) {
                // In use.
            }
        }
        return ports;
    }
}
