import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Clients leave before their time limit, after they have sent a whole request with a body of 100 KB. One part has safe
 * requests at work at a server, the other has streams that wait at the entry because the server's places are taken.
 */
public final class LeaversCase {
    private static final int BODY_BYTES = Integer.parseInt(System.getProperty("body", "100000"));
    private static final int GRACE_MS = 500;
    private static final int CONTACT_MS = 3_000;

    /** What is known of one request; times are 0 until they are known. */
    private static final class Fate {
        volatile long sentAtMs;
        volatile long closedAtMs;
        volatile long arrivedAtMs;
        volatile long endedAtMs;
        volatile boolean isDropped;
        volatile String answer = "none";
    }

    private final Deployment deployment;
    private final Map<String, Fate> fates = new ConcurrentHashMap<>();

    private LeaversCase(Deployment deployment) {
        this.deployment = deployment;
    }

    public static void main(String[] arguments) throws Exception {
        int code = 2;
        try (Deployment deployment = new Deployment(Path.of(arguments[0]), 3, 8)) {
            try {
                code = new LeaversCase(deployment).run();
            } catch (Exception e) {
                deployment.note("could not run: " + e);
                deployment.tails();
            }
            deployment.note("exit " + code);
        }
        System.exit(code);
    }

    private int run() throws Exception {
        String config = "{\"version\":7,\"routes\":["
            + "{\"name\":\"r-safe\",\"host\":\"h.example\",\"path_prefix\":\"/safe/\",\"type\":\"safe\",\"timeout_ms\":6000,"
            + "\"slo_ms\":1500,\"priority\":1,\"service\":\"app\",\"max_attempts\":1,\"public\":true},"
            + "{\"name\":\"r-stream\",\"host\":\"h.example\",\"path_prefix\":\"/stream/\",\"type\":\"stream\",\"timeout_ms\":39000,"
            + "\"slo_ms\":1800,\"priority\":1,\"service\":\"pool\",\"max_attempts\":1,\"public\":true,\"sticky\":true,"
            + "\"resumable\":false,\"gap_slo_ms\":180}],\"services\":["
            + "{\"name\":\"app\",\"health_path\":\"/health\",\"max_conns\":312,\"protocol\":\"h1\",\"tls\":false},"
            + "{\"name\":\"pool\",\"health_path\":\"/health\",\"max_conns\":312,\"protocol\":\"h1\",\"tls\":false,"
            + "\"engine\":{\"slots\":16,\"kv_capacity\":400000,\"kv_token_bytes\":131072,\"link_mbps\":19000.0,"
            + "\"moves\":false,\"backups\":false,\"stride\":4,\"most\":12,\"models\":[{\"name\":\"m\"}]}}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000}}";
        deployment.startAll(1, config);
        try (Server app = new Server(deployment, "i-app", "app", 64, "127.0.0.60", this::serveSafe);
             Server pool = new Server(deployment, "i-pool", "pool", 16, "127.0.0.61", this::serveStream)) {
            deployment.awaitReady(1);
            awaitServed("/safe/warm", 2_000);
            awaitServed("/stream/warm", 2_000);
            // The machines are in touch from contact_ms after their start on.
            Thread.sleep(CONTACT_MS + 1_000);
            boolean isSafeBroken = safeRequests();
            Thread.sleep(3_500);
            boolean isStreamBroken = streams();
            return isSafeBroken || isStreamBroken ? 1 : 0;
        }
    }

    private void awaitServed(String path, long workMs) throws Exception {
        for (int i = 0; i < 100; i++) {
            Fate fate = send(path + i, "warm-" + path.substring(1, 4) + i, 100, 0);
            if (fate.answer.contains("200")) return;
            Thread.sleep(200);
        }
        throw new IOException("nothing is served at " + path);
    }

    private void arrived(Server.Request request) {
        Fate fate = fates.get(request.id());
        fate.arrivedAtMs = deployment.nowMs();
        deployment.note("server runs " + request.id() + " body=" + request.body.length);
    }

    private void ended(Server.Request request, boolean isWhole) {
        Fate fate = fates.get(request.id());
        fate.endedAtMs = deployment.nowMs();
        fate.isDropped = !isWhole;
        deployment.note("server " + (isWhole ? "has finished " : "drops ") + request.id());
    }

    private void serveSafe(Server.Request request, OutputStream output) throws IOException {
        arrived(request);
        boolean isWhole = Server.workFor(request, request.path.contains("warm") ? 10 : 3_000);
        ended(request, isWhole);
        if (!isWhole) throw new IOException("the channel has ended");
        Server.write(output, Server.success(request, "Content-Length: 2\r\n\r\nok"));
    }

    private void serveStream(Server.Request request, OutputStream output) throws IOException {
        arrived(request);
        boolean isWhole = Server.workFor(request, request.path.contains("warm") ? 10 : 2_500);
        ended(request, isWhole);
        if (!isWhole) throw new IOException("the channel has ended");
        String event = "id: 0\ndata: x\n\n";
        Server.write(output, Server.success(request, "Content-Type: text/event-stream\r\nContent-Length: "
            + event.length() + "\r\n\r\n" + event));
    }

    /** Sends a request; leaves after a time, unless that is 0. */
    private Fate send(String path, String id, int bodyBytes, long leaveAfterMs) throws IOException {
        Fate fate = new Fate();
        fates.put(id, fate);
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(deployment.entryIp(1), deployment.frontPort), 1_000);
            String head = "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nFulmarshunt-Request-Id: " + id
                + "\r\nFulmarshunt-Deadline-Ms: 39000\r\nFulmarshunt-Model: m\r\nFulmarshunt-Token-Counts: 1000,80\r\n"
                + "Content-Length: " + bodyBytes + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write("a".repeat(bodyBytes).getBytes(StandardCharsets.US_ASCII));
            fate.sentAtMs = deployment.nowMs();
            if (leaveAfterMs > 0) {
                socket.setSoTimeout((int) leaveAfterMs);
            } else {
                socket.setSoTimeout(40_000);
            }
            try {
                Deployment.Answer answer = Deployment.Answer.read(new BufferedInputStream(socket.getInputStream()));
                fate.answer = answer == null ? "closed" : "" + answer.status;
            } catch (IOException e) {
                fate.answer = "none";
            }
        }
        if (leaveAfterMs > 0 && fate.answer.equals("none")) {
            fate.closedAtMs = deployment.nowMs();
            deployment.note("client leaves " + id);
        } else {
            deployment.note("client got " + fate.answer + " for " + id);
        }
        return fate;
    }

    private Thread client(String path, String id, long leaveAfterMs) {
        Thread thread = new Thread(() -> {
            try {
                send(path, id, BODY_BYTES, leaveAfterMs);
            } catch (IOException e) {
                deployment.note("client of " + id + ": " + e);
            }
        });
        thread.start();
        return thread;
    }

    /** Of 50 safe requests that take 3 s each, the clients of 10 leave after half of the response-time goal. */
    private boolean safeRequests() throws Exception {
        deployment.note("part 1: safe requests at work");
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 50; i++) clients.add(client("/safe/" + i, "safe-" + i, isLeaver(i) ? 750 : 0));
        for (Thread thread : clients) thread.join();
        Thread.sleep(3_000);
        int left = 0;
        int atWork = 0;
        for (int i = 0; i < 50; i++) {
            Fate fate = fates.get("safe-" + i);
            if (fate.closedAtMs == 0 || fate.arrivedAtMs == 0) continue;
            left += 1;
            if (fate.endedAtMs > fate.closedAtMs + GRACE_MS) atWork += 1;
        }
        deployment.note("part 1: clients that left=" + left + ", servers at work over 500 ms later=" + atWork);
        return atWork * 4 > left;
    }

    /** Of 50 streams of which 16 run at a time, the clients of 10 that wait leave after half of the goal. */
    private boolean streams() throws Exception {
        deployment.note("part 2: streams that wait");
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 16; i++) clients.add(client("/stream/" + i, "stream-" + i, 0));
        Thread.sleep(200);
        for (int i = 16; i < 26; i++) clients.add(client("/stream/" + i, "stream-" + i, deployment.trouble ? 900 : 0));
        Thread.sleep(100);
        for (int i = 26; i < 50; i++) clients.add(client("/stream/" + i, "stream-" + i, 0));
        for (Thread thread : clients) thread.join();
        Thread.sleep(1_000);
        int left = 0;
        int late = 0;
        for (int i = 0; i < 50; i++) {
            Fate fate = fates.get("stream-" + i);
            if (fate.closedAtMs == 0) continue;
            left += 1;
            if (fate.arrivedAtMs > fate.closedAtMs + GRACE_MS) late += 1;
        }
        deployment.note("part 2: clients that left=" + left + ", requests that reached the server over 500 ms later=" + late);
        // "More than a few".
        return late > 5;
    }

    private boolean isLeaver(int i) {
        return deployment.trouble && i % 5 == 0;
    }
}
