import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A sound server of a service: it checks in every 1.2 s, answers one request at a time on a channel, and drops a
 * request when its channel closes.
 */
class Server implements AutoCloseable {
    /** One request as it was read. */
    static final class Request {
        String method;
        String path;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body;
        Socket socket;
        InputStream input;

        String id() {
            return headers.get("fulmarshunt-request-id");
        }
    }

    /** Answers one request. */
    interface Work {
        void run(Request request, OutputStream output) throws Exception;
    }

    final Deployment deployment;
    final String id;
    final String service;
    final int slots;
    final ServerSocket listener;
    final long bornMs = System.currentTimeMillis();
    volatile String state = "ready";
    private final Work work;
    private long sequence;
    private volatile boolean isOpen = true;

    Server(Deployment deployment, String id, String service, int slots, String ip, Work work) throws IOException {
        this.deployment = deployment;
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.work = work;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(ip, 0), 200);
        daemon(this::accept);
        daemon(this::checkIn);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void checkIn() {
        for (int i = 0; isOpen; i++) {
            Deployment.Answer answer = beat(1 + i % deployment.controls);
            try {
                Thread.sleep(answer != null && answer.status == 200 ? 1_200 : 200);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    synchronized Deployment.Answer beat(int control) {
        sequence++;
        String body = "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"zone-a\","
            + "\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state + "\",\"cold_remaining_ms\":0,"
            + "\"seq\":" + sequence + ",\"born\":" + bornMs + "}";
        return Deployment.call(
            deployment.controlIp(control), deployment.controlPort, "POST", "/api/instances/" + id + "/heartbeat", body, 1_000);
    }

    private void accept() {
        while (isOpen) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            while (true) {
                String line = Deployment.readLine(input);
                if (line == null) return;
                Request request = new Request();
                request.method = line.split(" ")[0];
                request.path = line.split(" ")[1];
                Deployment.readHeaders(input, request.headers);
                request.body = Deployment.readBody(input, request.headers, false);
                request.socket = socket;
                request.input = input;
                if (request.path.equals("/health")) {
                    write(socket.getOutputStream(), "HTTP/1.1 200 OK\r\nFulmarshunt-Instance-Id: " + id
                        + "\r\nContent-Length: 0\r\n\r\n");
                } else if (!request.path.startsWith("/api/") && !id.equals(request.headers.get("fulmarshunt-expect-instance"))) {
                    write(socket.getOutputStream(), "HTTP/1.1 421 Misdirected Request\r\nFulmarshunt-Request-Id: "
                        + request.id() + "\r\nFulmarshunt-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
                } else {
                    work.run(request, socket.getOutputStream());
                }
            }
        } catch (Exception e) {
            // The channel has ended.
        }
    }

    /** Waits, and returns false as soon as the other side has closed the channel of the request. */
    static boolean workFor(Request request, long workMs) throws IOException {
        long endMs = System.nanoTime() / 1_000_000 + workMs;
        while (true) {
            long restMs = endMs - System.nanoTime() / 1_000_000;
            if (restMs <= 0) return true;
            request.socket.setSoTimeout((int) Math.max(1, restMs));
            try {
                if (request.input.read() < 0) return false;
            } catch (java.net.SocketTimeoutException e) {
                request.socket.setSoTimeout(0);
                return true;
            }
        }
    }

    static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.UTF_8));
        output.flush();
    }

    static String success(Request request, String more) {
        return "HTTP/1.1 200 OK\r\nFulmarshunt-Request-Id: " + request.id() + "\r\nFulmarshunt-Server-Stamp: 3e1b.07."
            + request.id() + "\r\n" + more;
    }

    @Override
    public void close() throws IOException {
        isOpen = false;
        listener.close();
    }
}
