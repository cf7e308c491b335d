import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A request crashes each server that begins to run it, and comes again with the same path, caller and body, at either
 * of two machines. Its body has 100 KB. The servers are back after 2 s, under a new id.
 */
public final class PoisonCase {
    private static final int BODY_BYTES = Integer.parseInt(System.getProperty("body", "100000"));
    private static final int CONTACT_MS = 3_000;
    private static final int CRASHED_MS = 2_000;
    private static final int RETRIES = 18;

    private final Deployment deployment;
    private final List<Long> crashesAtMs = new ArrayList<>();
    private final List<Long> arrivalsAtMs = new ArrayList<>();
    private final Set<Server> servers = ConcurrentHashMap.newKeySet();
    private int starts;

    private PoisonCase(Deployment deployment) {
        this.deployment = deployment;
    }

    public static void main(String[] arguments) throws Exception {
        int code = 2;
        try (Deployment deployment = new Deployment(Path.of(arguments[0]), 3, 8)) {
            try {
                code = new PoisonCase(deployment).run();
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
            + "{\"name\":\"r-unsafe\",\"host\":\"h.example\",\"path_prefix\":\"/book/\",\"type\":\"unsafe\",\"timeout_ms\":2500,"
            + "\"slo_ms\":193,\"priority\":1,\"service\":\"app\",\"max_attempts\":1,\"public\":false}],\"services\":["
            + "{\"name\":\"app\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"huka270\",\"api_keys\":[\"xd9dnn2ctnfz\"]}]}";
        deployment.startAll(2, config);
        for (int i = 0; i < 4; i++) startServer();
        deployment.awaitReady(1);
        deployment.awaitReady(2);
        for (int entry = 1; entry <= 2; entry++) {
            int tries = 0;
            while (send(entry, "/book/plain", "warm-" + entry + "-" + tries, 600) != 200) {
                if (++tries > 100) throw new IOException("nothing is served");
                Thread.sleep(200);
            }
        }
        Thread.sleep(CONTACT_MS + 500);
        for (int i = 0; i <= RETRIES; i++) {
            send(1 + i % 2, "/book/poison", "poison-" + i, BODY_BYTES);
            Thread.sleep(2_500);
        }
        Thread.sleep(500);
        int late = 0;
        if (crashesAtMs.size() >= 3) {
            long sinceMs = crashesAtMs.get(2) + CONTACT_MS;
            for (long atMs : arrivalsAtMs) if (atMs > sinceMs) late += 1;
        }
        deployment.note("crashes=" + crashesAtMs.size() + " arrivals=" + arrivalsAtMs.size()
            + " arrivals later than " + CONTACT_MS + " ms after the third crash=" + late);
        for (Server server : servers) server.close();
        return late > 3 ? 1 : 0;
    }

    private synchronized void startServer() throws IOException {
        starts += 1;
        Server[] own = new Server[1];
        Set<Socket> open = ConcurrentHashMap.newKeySet();
        own[0] = new Server(deployment, "i-app-" + starts, "app", 6, "127.0.0.60", (request, output) -> {
            open.add(request.socket);
            serve(own, open, request, output);
        });
        servers.add(own[0]);
        deployment.note("server " + own[0].id + " starts at " + own[0].address());
    }

    private void serve(Server[] own, Set<Socket> open, Server.Request request, OutputStream output) throws Exception {
        boolean isPoison = request.path.contains("poison");
        deployment.note("server " + own[0].id + " runs " + request.id() + " body=" + request.body.length);
        if (isPoison) {
            synchronized (this) {
                arrivalsAtMs.add(deployment.nowMs());
            }
            if (deployment.trouble) {
                Thread.sleep(20);
                crash(own[0], open);
                return;
            }
        }
        Server.write(output, Server.success(request, "Content-Length: 2\r\n\r\nok"));
    }

    /** The process ends: its channels are reset, and nothing listens until it is back. */
    private void crash(Server server, Set<Socket> open) throws Exception {
        synchronized (this) {
            crashesAtMs.add(deployment.nowMs());
        }
        deployment.note("server " + server.id + " crashes");
        servers.remove(server);
        server.close();
        for (Socket socket : open) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        Thread restart = new Thread(() -> {
            try {
                Thread.sleep(CRASHED_MS);
                startServer();
            } catch (Exception e) {
                deployment.note("restart: " + e);
            }
        });
        restart.setDaemon(true);
        restart.start();
    }

    private int send(int entry, String path, String id, int bodyBytes) {
        int status = 0;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(deployment.entryIp(entry), deployment.frontPort), 1_000);
            socket.setSoTimeout(3_000);
            String head = "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nFulmarshunt-Request-Id: " + id
                + "\r\nFulmarshunt-Deadline-Ms: 2500\r\nApi-Key: xd9dnn2ctnfz\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write("a".repeat(bodyBytes).getBytes(StandardCharsets.US_ASCII));
            Deployment.Answer answer = Deployment.Answer.read(new BufferedInputStream(socket.getInputStream()));
            if (answer != null) status = answer.status;
        } catch (IOException e) {
            // Counts as no answer.
        }
        deployment.note("client sent " + id + " to entry-" + entry + ", answer " + status);
        return status;
    }
}
