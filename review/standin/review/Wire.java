package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** MessagePack over HTTP/1.1 on loopback addresses, as the protocol page describes it. */
final class Wire {
    private static final ObjectMapper PACK = new ObjectMapper(new MessagePackFactory());
    private static final ObjectMapper JSON = new ObjectMapper();
    static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private static final HttpClient CLIENT = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofSeconds(2)).executor(THREADS).build();

    private Wire() {}

    /** A response; [body] is null if there was none. */
    record Reply(int status, JsonNode body) {
        static Reply of(int status, JsonNode body) {
            return new Reply(status, body);
        }
    }

    interface Handler {
        Reply handle(String method, String path, String query, JsonNode body) throws Exception;
    }

    static ObjectNode map() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** The size of [node] as JSON, in which the pages count limits. */
    static int jsonSize(JsonNode node) {
        try {
            return JSON.writeValueAsBytes(node).length;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static JsonNode unpack(byte[] bytes) throws IOException {
        return bytes.length == 0 ? null : PACK.readTree(bytes);
    }

    static byte[] pack(JsonNode node) {
        try {
            return PACK.writeValueAsBytes(node);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static String json(JsonNode node) {
        return node == null ? "-" : node.toString();
    }

    /** Starts a server on [port] of 127.0.0.1. */
    static HttpServer serve(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 256);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> {
            try (exchange) {
                byte[] request = exchange.getRequestBody().readAllBytes();
                Reply reply;
                try {
                    URI uri = exchange.getRequestURI();
                    reply = handler.handle(exchange.getRequestMethod(), uri.getPath(), uri.getRawQuery(), unpack(request));
                } catch (Exception e) {
                    e.printStackTrace();
                    reply = Reply.of(400, map());
                }
                byte[] bytes = reply.body() == null ? new byte[0] : pack(reply.body());
                exchange.sendResponseHeaders(reply.status(), bytes.length == 0 ? -1 : bytes.length);
                if (bytes.length > 0) exchange.getResponseBody().write(bytes);
            }
        });
        server.start();
        return server;
    }

    /** The response of the server at [port], or null if there is none within [timeoutMs]. */
    static Reply call(int port, String method, String path, JsonNode body, long timeoutMs) {
        byte[] bytes = body == null ? null : pack(body);
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .timeout(Duration.ofMillis(timeoutMs))
            .method(method, bytes == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofByteArray(bytes))
            .build();
        try {
            HttpResponse<byte[]> response = CLIENT.send(request, HttpResponse.BodyHandlers.ofByteArray());
            JsonNode decoded = null;
            try {
                decoded = unpack(response.body());
            } catch (IOException e) {
                // Not MessagePack, such as the body of /ready.
            }
            return new Reply(response.statusCode(), decoded);
        } catch (IOException e) {
            return null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }

    /** A free port below the range from which the system takes the ports of outgoing connections. */
    static int freePort() {
        for (int tries = 0; tries < 1000; tries++) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // In use; the next one.
            }
        }
        throw new IllegalStateException("no free port");
    }

    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
