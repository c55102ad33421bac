package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The way on which one controller opens connections to another one; a packet filter can refuse them. */
final class Link {
    final int port;
    private final int target;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private ServerSocket listener;

    Link(int target) throws IOException {
        this.target = target;
        port = Wire.freePort();
        listener = new ServerSocket(port, 64, InetAddress.getByName("127.0.0.1"));
        Thread thread = new Thread(this::accept);
        thread.setDaemon(true);
        thread.start();
    }

    /** From now on connections are refused, and open ones are reset. */
    void refuse() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // The thread that copies the other direction has closed it already.
            }
        }
    }

    private void accept() {
        while (true) {
            try {
                Socket client = listener.accept();
                Socket server = new Socket(InetAddress.getByName("127.0.0.1"), target);
                client.setTcpNoDelay(true);
                server.setTcpNoDelay(true);
                sockets.add(client);
                sockets.add(server);
                Wire.THREADS.execute(() -> copy(client, server));
                Wire.THREADS.execute(() -> copy(server, client));
            } catch (IOException e) {
                if (listener.isClosed()) return;
            }
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[65_536];
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int count;
            while ((count = in.read(buffer)) >= 0) out.write(buffer, 0, count);
        } catch (IOException e) {
            // Closed by one side.
        }
        sockets.remove(from);
        sockets.remove(to);
    }
}
