import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A TCP proxy between two controllers. It can refuse, hold (deliver later, in order), delay or reset. */
final class Proxy {
    enum Mode { OPEN, REFUSE, HOLD }

    private final ServerSocket listener;
    private final int target;
    private volatile Mode mode = Mode.OPEN;
    volatile int delayMs;
    private final Object changed = new Object();
    private final java.util.Set<Socket> sockets = java.util.concurrent.ConcurrentHashMap.newKeySet();

    Proxy(int target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        Http.THREADS.execute(this::accept);
    }

    int port() { return listener.getLocalPort(); }

    void set(Mode mode) {
        synchronized (changed) {
            this.mode = mode;
            changed.notifyAll();
        }
    }

    void reset() { sockets.forEach(Proxy::close); }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }

    private void accept() {
        while (true) {
            try {
                Socket in = listener.accept();
                if (mode == Mode.REFUSE) {
                    in.setSoLinger(true, 0);
                    in.close();
                    continue;
                }
                Http.THREADS.execute(() -> connect(in));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void awaitPass() throws InterruptedException {
        synchronized (changed) {
            while (mode == Mode.HOLD) changed.wait();
        }
    }

    private void connect(Socket in) {
        try {
            awaitPass();
            Socket out = new Socket(InetAddress.getByName("127.0.0.1"), target);
            in.setTcpNoDelay(true);
            out.setTcpNoDelay(true);
            sockets.add(in);
            sockets.add(out);
            Http.THREADS.execute(() -> pump(in, out));
            pump(out, in);
        } catch (IOException | InterruptedException e) {
            close(in);
        }
    }

    private void pump(Socket from, Socket to) {
        byte[] buffer = new byte[65536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            while (true) {
                int count = in.read(buffer);
                if (count < 0) break;
                awaitPass();
                if (delayMs > 0) Thread.sleep((long) (Math.random() * delayMs));
                if (mode == Mode.REFUSE) break;
                out.write(buffer, 0, count);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // One side is gone.
        } finally {
            close(from);
            close(to);
            sockets.remove(from);
            sockets.remove(to);
        }
    }
}
