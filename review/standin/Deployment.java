import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * A small deployment on loopback addresses: the project's own programs as processes, started with the commands of
 * deploy/system.toml, and stand-ins for servers, the operator and clients. Everything is written to record.txt.
 */
final class Deployment implements AutoCloseable {
    static final String[] ZONES = {"zone-a", "zone-b", "zone-c"};
    final int controls;
    final int entries;
    final Path home;
    final Path folder;
    final List<Process> processes = new CopyOnWriteArrayList<>();
    final List<Server> servers = new CopyOnWriteArrayList<>();
    final int linkPort, controlPort, metricsPort, frontPort, readyPort;
    final Map<String, Process> byName = new ConcurrentHashMap<>();
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final AtomicInteger nextHost = new AtomicInteger(60);

    Deployment(Path home, Path caseFolder, int controls, int entries) throws IOException {
        this.home = home;
        this.controls = controls;
        this.entries = entries;
        folder = Files.createTempDirectory("review-case");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        linkPort = freePort();
        controlPort = freePort();
        metricsPort = freePort();
        frontPort = freePort();
        readyPort = freePort();
    }

    double now() { return (System.nanoTime() - startNanos) / 1e9; }

    synchronized void log(String text) {
        record.println(String.format(Locale.ROOT, "%8.3f %s", now(), text));
    }

    static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) { return s.getLocalPort(); }
    }

    String controlIp(int n) { return "127.41.0." + (10 + n); }
    String entryIp(int n) { return "127.41.0." + (40 + n); }
    String newServerIp() { return "127.41.0." + nextHost.incrementAndGet(); }

    /** The run line of a role, with the path of its settings file replaced. */
    private List<String> command(String role, Path settings) throws IOException {
        String section = Files.readString(home.resolve("deploy/system.toml")).split("\\[roles\\." + role + "]")[1];
        for (String line : section.split("\n")) {
            if (!line.startsWith("run = ")) continue;
            String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            return Arrays.asList(run.replace("/etc/fulmarshunt/node.toml", settings.toString()).split(" "));
        }
        throw new IOException("no run line for role " + role);
    }

    private String common(String id, String ip, String zone) {
        StringBuilder seeds = new StringBuilder();
        for (int i = 0; i < Math.min(3, controls); i++)
            seeds.append(i > 0 ? "," : "").append('"').append(controlIp(i)).append(':').append(controlPort).append('"');
        return "[vm]\nid = \"" + id + "\"\nfailure_domain = \"" + zone + "\"\nip = \"" + ip + "\"\n[link]\nport = "
            + linkPort + "\nsecret = \"fulmarshunt-fleet-link\"\n[control]\nseeds = [" + seeds + "]\n";
    }

    void startControl(int n, boolean bootstrap) throws IOException {
        String ip = controlIp(n);
        start("control-" + n, "control", common("control-" + n, ip, ZONES[n % 3])
            + "[data]\ndirectory = \"" + folder.resolve("data-" + n) + "\"\n[listen]\nrequests = \"" + ip + ":" + controlPort
            + "\"\nmetrics = \"" + ip + ":" + metricsPort + "\"\n[formation]\nbootstrap = " + bootstrap
            + "\n[targets]\nperiod_ms = 1200\n");
    }

    void startEntry(int n) throws IOException {
        String ip = entryIp(n);
        start("entry-" + n, "entry", common("entry-" + n, ip, ZONES[n % 3])
            + "[listen]\ncallers = \"" + ip + ":" + frontPort + "\"\nreadiness = \"" + ip + ":" + readyPort
            + "\"\nmetrics = \"" + ip + ":" + metricsPort + "\"\n[bounds]\nrepeat_ratio = 0.2\nrepeat_allowance = 56\n"
            + "repeat_window_s = 10\ncold_factor = 1.5\ncold_allowance = 5\n[shutdown]\ngrace_s = 8\n");
    }

    private void start(String name, String role, String settings) throws IOException {
        Path file = folder.resolve(name + ".toml");
        Files.writeString(file, settings);
        ProcessBuilder builder = new ProcessBuilder(command(role, file)).directory(home.toFile());
        builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        File out = folder.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(out));
        Process process = builder.start();
        processes.add(process);
        byName.put(name, process);
        log("started " + name + " pid=" + process.pid());
    }

    void signal(String name, String signal) throws Exception {
        Process process = byName.get(name);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        log("SIG" + signal + " to " + name);
    }

    /** A call over a new channel; the status is -1 if there is no complete answer in time. */
    record Answer(int status, String body) { }

    Answer call(String ip, int port, String method, String path, String headers, String body, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), timeoutMs);
            socket.setSoTimeout(timeoutMs);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + (headers.contains("Host:") ? "" : ip);
            if (headers.contains("Host:")) head = method + " " + path + " HTTP/1.1\r\n" + headers;
            else head += "\r\n" + headers;
            head += "Connection: close\r\n" + (bytes.length > 0 || method.equals("POST")
                ? "Content-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n" : "") + "\r\n";
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            out.write(bytes);
            out.flush();
            return read(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            return new Answer(-1, e.getClass().getSimpleName() + ": " + e.getMessage());
        }
    }

    static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) { if (text.length() == 0) return null; throw new EOFException(); }
            if (c != '\r') text.append((char) c);
        }
        return text.toString();
    }

    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in))
            headers.put(line.substring(0, line.indexOf(':')).trim(), line.substring(line.indexOf(':') + 1).trim());
        return headers;
    }

    static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) throw new EOFException();
                int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                if (length == 0) { headers(in); return all.toByteArray(); }
                all.write(in.readNBytes(length));
                line(in);
            }
        }
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) throw new EOFException();
        return body;
    }

    private static Answer read(InputStream in) throws IOException {
        String status = line(in);
        if (status == null) throw new EOFException("closed without an answer");
        Map<String, String> headers = headers(in);
        return new Answer(Integer.parseInt(status.split(" ")[1]), new String(body(in, headers), StandardCharsets.UTF_8));
    }

    /** An order of the operator: one call to one node, with a second to answer. */
    Answer order(int node, String method, String path, String body) {
        Answer answer = call(controlIp(node), controlPort, method, path, "", body, 1000);
        log("operator " + method + " " + path + " at control-" + node + " -> " + answer.status
            + (answer.status == 200 ? "" : " " + answer.body));
        return answer;
    }

    /** Sends an order to the nodes in turn, with increasing backoff, until it is acknowledged. */
    boolean orderUntilAcknowledged(String method, String path, String body, double limitS, int... nodes) throws Exception {
        double end = now() + limitS;
        long pauseMs = 50;
        for (int i = 0; now() < end; i++) {
            if (order(nodes[i % nodes.length], method, path, body).status == 200) return true;
            Thread.sleep(pauseMs);
            pauseMs = Math.min(400, pauseMs * 2);
        }
        return false;
    }

    Answer request(int entry, String id, String method, String path, String body, int deadlineMs) {
        return call(entryIp(entry), frontPort, method, path, "Host: site.example\r\nFulmarshunt-Request-Id: " + id
            + "\r\nFulmarshunt-Deadline-Ms: " + deadlineMs + "\r\n", body, deadlineMs);
    }

    boolean awaitReady(int entry, double limitS) throws Exception {
        for (double end = now() + limitS; now() < end; Thread.sleep(200))
            if (call(entryIp(entry), readyPort, "GET", "/api/ready", "", "", 1000).status == 200) return true;
        return false;
    }

    static String config(int version) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-look\",\"host\":\"site.example\",\"path_prefix\":\"/look/\","
            + "\"type\":\"safe\",\"timeout_ms\":2500,\"slo_ms\":150,\"priority\":2,\"service\":\"app\",\"max_attempts\":2,\"public\":true},"
            + "{\"name\":\"r-book\",\"host\":\"site.example\",\"path_prefix\":\"/book/\",\"type\":\"unsafe\",\"timeout_ms\":2500,"
            + "\"slo_ms\":150,\"priority\":2,\"service\":\"app\",\"max_attempts\":1,\"public\":true},"
            + "{\"name\":\"r-write\",\"host\":\"site.example\",\"path_prefix\":\"/write/\",\"type\":\"stream\",\"timeout_ms\":6000,"
            + "\"slo_ms\":1500,\"gap_slo_ms\":180,\"priority\":1,\"service\":\"app\",\"max_attempts\":1,\"public\":true}],"
            + "\"services\":[{\"name\":\"app\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false,"
            + "\"cold_start_s\":0.0,\"cold_per_s\":0.0}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }

    /** What one server has run. */
    record Arrival(double at, String id, String zone, String method, String path) { }

    final List<Arrival> arrivals = new CopyOnWriteArrayList<>();

    /** A stand-in for a server of the service `app`. It checks in as the pages say and answers each request at once. */
    final class Server implements AutoCloseable {
        final String id = "i-" + Long.toHexString(ThreadLocalRandom.current().nextLong() >>> 16);
        final String ip = newServerIp();
        final String zone;
        final ServerSocket socket;
        final long born = System.currentTimeMillis();
        private final AtomicLong seq = new AtomicLong();
        private volatile boolean isOpen = true;
        private int node = ThreadLocalRandom.current().nextInt(controls);

        Server(String zone) throws IOException {
            this.zone = zone;
            socket = new ServerSocket();
            socket.bind(new InetSocketAddress(ip, 0), 128);
            daemon(this::accept);
            daemon(this::checkIn);
            servers.add(this);
            log("server " + id + " in " + zone + " at " + ip + ":" + socket.getLocalPort());
        }

        private void checkIn() {
            while (isOpen) {
                String body = "{\"service\":\"app\",\"address\":\"" + ip + ":" + socket.getLocalPort() + "\",\"zone\":\"" + zone
                    + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":" + seq.incrementAndGet()
                    + ",\"born\":" + born + "}";
                if (call(controlIp(node), controlPort, "POST", "/api/instances/" + id + "/heartbeat", "", body, 1000).status == 200)
                    sleep(1200);
                else {
                    node = (node + 1) % controls;
                    // Without a pause, refused calls while the programs start would use up all sequence numbers.
                    sleep(100);
                }
                if (seq.get() > 10_000) return;
            }
        }

        private void accept() {
            while (isOpen) {
                try {
                    Socket channel = socket.accept();
                    daemon(() -> serve(channel));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket channel) {
            try (channel) {
                InputStream in = new BufferedInputStream(channel.getInputStream());
                while (true) {
                    String start = line(in);
                    if (start == null) return;
                    Map<String, String> headers = headers(in);
                    byte[] body = body(in, headers);
                    String request = headers.getOrDefault("Fulmarshunt-Request-Id", "");
                    String expected = headers.get("Fulmarshunt-Expect-Instance");
                    String answer;
                    if (expected != null && !expected.equals(id)) {
                        answer = "HTTP/1.1 421 Misdirected Request\r\nFulmarshunt-Request-Id: " + request
                            + "\r\nFulmarshunt-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
                    } else {
                        String[] parts = start.split(" ");
                        arrivals.add(new Arrival(now(), request, zone, parts[0], parts[1]));
                        log("server in " + zone + " runs " + request + " " + parts[0] + " " + parts[1]);
                        answer = "HTTP/1.1 200 OK\r\nFulmarshunt-Request-Id: " + request + "\r\nFulmarshunt-Server-Stamp: s-" + id
                            + "\r\nFulmarshunt-Server-Load: 0,0,6\r\nContent-Length: " + request.length() + "\r\n\r\n" + request;
                    }
                    if (start.contains(" /write/") && answer.startsWith("HTTP/1.1 200")) answer = events(request, start.startsWith("HEAD "));
                    channel.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                    channel.getOutputStream().flush();
                }
            } catch (IOException e) {
                // The caller has closed the channel.
            }
        }

        /** A stream of five events; the answer to HEAD has the same head and no body. */
        private String events(String request, boolean isHead) {
            StringBuilder answer = new StringBuilder("HTTP/1.1 200 OK\r\nFulmarshunt-Request-Id: " + request
                + "\r\nFulmarshunt-Server-Stamp: s-" + id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            if (isHead) return answer.toString();
            for (int i = 1; i <= 5; i++) {
                String event = "id: " + i + "\ndata: token " + i + "\n\n";
                answer.append(Integer.toHexString(event.length())).append("\r\n").append(event).append("\r\n");
            }
            return answer.append("0\r\n\r\n").toString();
        }

        @Override public void close() throws IOException {
            isOpen = false;
            socket.close();
        }
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    static void sleep(long ms) {
        try { Thread.sleep(ms); } catch (InterruptedException e) { throw new IllegalStateException(e); }
    }

    /** Starts the programs and servers, and waits until all entry VMs are ready and requests are served. */
    boolean begin() throws Exception {
        for (int i = 0; i < controls; i++) startControl(i, true);
        for (int i = 0; i < entries; i++) startEntry(i);
        new Server(ZONES[0]);
        new Server(ZONES[1]);
        new Server(ZONES[1]);
        int[] all = java.util.stream.IntStream.range(0, controls).toArray();
        if (!orderUntilAcknowledged("POST", "/api/config/replace", config(3), 30, all)) return false;
        for (int i = 0; i < entries; i++) if (!awaitReady(i, 15)) return false;
        for (int i = 0; now() < 50; i++) {
            if (request(i % entries, "warm-" + i, "GET", "/look/x", "", 2500).status == 200) return true;
            Thread.sleep(200);
        }
        return false;
    }

    @Override public void close() throws Exception {
        for (Process process : processes) process.destroyForcibly();
        for (Process process : processes) process.waitFor();
        for (Server server : servers) server.close();
        if (System.getenv("KEEP") != null) { System.err.println("logs in " + folder); return; }
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        }
    }
}
