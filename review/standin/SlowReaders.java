import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** No case, see REPORT.md: callers that do not read their answers stop an entry VM for all other callers. */
final class SlowReaders {
    static final int CALLERS = 700, SERVERS = 8, ANSWER_BYTES = 3_000_000, TIMEOUT_MS = 2500, SLACK_MS = 500;

    public static void main(String[] args) throws Exception {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Deployment site = new Deployment(Path.of(args[0]), Path.of(args[1]), 3, 1)) {
            code = run(site, isTrouble);
            site.log("result " + code);
        }
        System.exit(code);
    }

    private static int run(Deployment site, boolean isTrouble) throws Exception {
        for (int i = 0; i < site.controls; i++) site.startControl(i, true);
        site.startEntry(0);
        for (int i = 0; i < SERVERS; i++) startServer(site, "i-big-" + i);
        String config = Deployment.config(3).replace("\"routes\":[", "\"routes\":[{\"name\":\"r-big\",\"host\":\"site.example\","
            + "\"path_prefix\":\"/big/\",\"type\":\"unsafe\",\"timeout_ms\":39000,\"slo_ms\":1500,\"priority\":2,\"service\":\"app\","
            + "\"max_attempts\":1,\"public\":true},");
        if (!site.orderUntilAcknowledged("POST", "/api/config/replace", config, 30, 0, 1, 2) || !site.awaitReady(0, 15)) return 2;
        Thread.sleep(2_500);

        AtomicLong read = new AtomicLong();
        List<Socket> channels = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Socket channel = new Socket();
            channel.setReceiveBufferSize(4096);
            channel.connect(new InetSocketAddress(site.entryIp(0), site.frontPort), 5000);
            channel.getOutputStream().write(("GET /big/x HTTP/1.1\r\nHost: site.example\r\nFulmarshunt-Request-Id: big-" + i
                + "\r\nFulmarshunt-Deadline-Ms: 39000\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            channels.add(channel);
            // Without the trouble, the same callers read their answers.
            if (!isTrouble) Deployment.daemon(() -> {
                byte[] bytes = new byte[65_536];
                try {
                    for (int n; (n = channel.getInputStream().read(bytes)) >= 0;) read.addAndGet(n);
                } catch (IOException e) {
                    // The end of the case.
                }
            });
        }
        site.log(CALLERS + " callers have asked for " + ANSWER_BYTES + " bytes each; " + (isTrouble ? "they do not read" : "they read"));
        Thread.sleep(isTrouble ? 8_000 : 25_000);

        int[] during = askAll(site, "d");
        for (Socket channel : channels) channel.close();
        site.log("the callers have left");
        Thread.sleep(1_000);
        int[] after = askAll(site, "a");
        site.log("read by the callers: " + read.get() + " bytes; the process lives: " + site.byName.get("entry-0").isAlive());
        // Each of the other requests ends by its route's timeout, with an answer or a refusal.
        boolean isBroken = 2 * during[1] > during[0] && during[0] >= 20 || 2 * after[1] > after[0] && after[0] >= 20;
        return isBroken ? 1 : 0;
    }

    /** Sends 40 small requests of other callers; returns how many were unanswered at their timeout, and half a second later. */
    private static int[] askAll(Deployment site, String name) throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(10);
        AtomicInteger late = new AtomicInteger(), never = new AtomicInteger(), answered = new AtomicInteger();
        for (int i = 0; i < 40; i++) {
            String id = name + i;
            callers.submit(() -> {
                double from = site.now();
                var answer = site.call(site.entryIp(0), site.frontPort, "GET", "/look/x", "Host: site.example\r\nFulmarshunt-Request-Id: "
                    + id + "\r\nFulmarshunt-Deadline-Ms: " + TIMEOUT_MS + "\r\n", "", TIMEOUT_MS + SLACK_MS);
                boolean isLate = (site.now() - from) * 1000 > TIMEOUT_MS;
                if (isLate) late.incrementAndGet();
                if (isLate && answer.status() < 0) never.incrementAndGet();
                if (answer.status() > 0) answered.incrementAndGet();
                site.log("client " + id + " -> " + answer.status() + " after " + Math.round((site.now() - from) * 1000) + " ms "
                    + (answer.status() < 0 ? answer.body() : ""));
            });
        }
        callers.shutdown();
        callers.awaitTermination(30, TimeUnit.SECONDS);
        site.log("small requests " + name + ": answered " + answered + " of 40, unanswered at their timeout " + late
            + ", still unanswered half a second later " + never);
        return new int[] {late.get(), never.get()};
    }

    private static void startServer(Deployment site, String id) throws IOException {
        ServerSocket socket = new ServerSocket();
        String ip = site.newServerIp();
        socket.bind(new InetSocketAddress(ip, 0), 256);
        long born = System.currentTimeMillis();
        Deployment.daemon(() -> {
            while (true) {
                try {
                    Socket channel = socket.accept();
                    Deployment.daemon(() -> serve(channel, id));
                } catch (IOException e) {
                    return;
                }
            }
        });
        Deployment.daemon(() -> {
            for (int seq = 1; seq < 1000; seq++) {
                site.call(site.controlIp(seq % site.controls), site.controlPort, "POST", "/api/instances/" + id + "/heartbeat", "",
                    "{\"service\":\"app\",\"address\":\"" + ip + ":" + socket.getLocalPort() + "\",\"zone\":\"zone-a\",\"version\":\"v1\","
                        + "\"slots\":100,\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":" + seq + ",\"born\":" + born + "}", 1000);
                Deployment.sleep(1200);
            }
        });
    }

    private static void serve(Socket channel, String server) {
        try (channel) {
            InputStream in = new BufferedInputStream(channel.getInputStream());
            OutputStream out = channel.getOutputStream();
            while (true) {
                String start = Deployment.line(in);
                if (start == null) return;
                Map<String, String> headers = Deployment.headers(in);
                int length = start.contains(" /big/") ? ANSWER_BYTES : 10;
                out.write(("HTTP/1.1 200 OK\r\nFulmarshunt-Request-Id: " + headers.get("Fulmarshunt-Request-Id")
                    + "\r\nFulmarshunt-Server-Stamp: s-" + server + "\r\nContent-Length: " + length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                byte[] piece = new byte[16_384];
                for (int sent = 0; sent < length; sent += piece.length) out.write(piece, 0, Math.min(piece.length, length - sent));
                out.flush();
            }
        } catch (IOException e) {
            // The caller has closed the channel.
        }
    }
}
