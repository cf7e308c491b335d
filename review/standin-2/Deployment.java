import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback addresses: the project's own programs as processes, started with the commands of the
 * deploy file, and the operator's and servers' calls to them. Everything that is sent and answered goes to the record.
 */
final class Deployment implements AutoCloseable {
    /** Held in the case's folder: what was sent, answered and run. */
    final PrintWriter record;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path directory;
    final int linkPort;
    final int controlPort;
    final int frontPort;
    final int readyPort;
    final int metricsPort;
    final int controls;
    final long startNanos = System.nanoTime();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Path root;
    private final double graceS;

    Deployment(Path caseFolder, int controls, double graceS) throws IOException {
        this.controls = controls;
        this.graceS = graceS;
        root = caseFolder.toAbsolutePath().normalize().getParent().getParent();
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        directory = Files.createTempDirectory("fulmarshunt-review");
        int[] ports = freePorts(5);
        linkPort = ports[0];
        controlPort = ports[1];
        frontPort = ports[2];
        readyPort = ports[3];
        metricsPort = ports[4];
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.values().forEach(Process::destroyForcibly)));
        note("trouble=" + trouble + " controls=" + controls);
    }

    long nowMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void note(String line) {
        String text = String.format("%7d ms  %s", nowMs(), line);
        record.println(text);
        System.out.println(text);
    }

    /** Free ports below the ephemeral range; all loopback addresses of the deployment use the same ones. */
    private static int[] freePorts(int count) throws IOException {
        int[] ports = new int[count];
        int next = 12_000 + (int) ((ProcessHandle.current().pid() * 997) % 18_000);
        for (int found = 0; found < count; next++) {
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress("0.0.0.0", next));
                ports[found++] = next;
            } catch (IOException e) {
                // In use; the next one is tried.
            }
        }
        return ports;
    }

    String controlIp(int number) {
        return "127.0.0." + (10 + number);
    }

    String entryIp(int number) {
        return "127.0.0." + (40 + number);
    }

    /** The run line of a role of the deploy file, with the path of the settings file replaced. */
    private List<String> commandOf(String role, Path settings) throws IOException {
        boolean isRole = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) isRole = line.trim().equals("[roles." + role + "]");
            if (isRole && line.startsWith("run = \"")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                List<String> words = new ArrayList<>();
                for (String word : run.split(" ")) {
                    words.add(word.replace("/etc/fulmarshunt/node.toml", settings.toString()));
                }
                return words;
            }
        }
        throw new IOException("the deploy file has no role " + role);
    }

    private Process start(String name, String role, String settings) throws IOException {
        Path path = directory.resolve(name + ".toml");
        Files.writeString(path, settings);
        Process process = new ProcessBuilder(commandOf(role, path))
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(directory.resolve(name + ".out").toFile()))
            .start();
        processes.put(name, process);
        note("started " + name + " pid=" + process.pid());
        return process;
    }

    private String common(String id, String ip, String seeds) {
        return "[vm]\nid = \"" + id + "\"\nfailure_domain = \"zone-a\"\nip = \"" + ip + "\"\n"
            + "[link]\nport = " + linkPort + "\nsecret = \"fulmarshunt-fleet-link\"\n"
            + "[control]\nseeds = [" + seeds + "]\n";
    }

    String seeds() {
        List<String> seeds = new ArrayList<>();
        for (int i = 1; i <= Math.min(3, controls); i++) seeds.add("\"" + controlIp(i) + ":" + controlPort + "\"");
        return String.join(",", seeds);
    }

    Process startControl(int number, boolean bootstrap) throws IOException {
        return startControl(number, bootstrap, seeds());
    }

    Process startControl(int number, boolean bootstrap, String seeds) throws IOException {
        String ip = controlIp(number);
        return start("control-" + number, "control", common("control-" + number, ip, seeds)
            + "[data]\ndirectory = \"" + directory.resolve("data-" + number) + "\"\n"
            + "[listen]\nrequests = \"" + ip + ":" + controlPort + "\"\nmetrics = \"" + ip + ":" + metricsPort + "\"\n"
            + "[formation]\nbootstrap = " + bootstrap + "\n[targets]\nperiod_ms = 1200\n");
    }

    Process startEntry(int number) throws IOException {
        return startEntry(number, seeds());
    }

    Process startEntry(int number, String seeds) throws IOException {
        String ip = entryIp(number);
        return start("entry-" + number, "entry", common("entry-" + number, ip, seeds)
            + "[listen]\ncallers = \"" + ip + ":" + frontPort + "\"\nreadiness = \"" + ip + ":" + readyPort + "\"\n"
            + "metrics = \"" + ip + ":" + metricsPort + "\"\nforwarding = \"" + ip + ":" + linkPort + "\"\n"
            + "[bounds]\nrepeat_ratio = 0.2\nrepeat_allowance = 56\nrepeat_window_s = 10\ncold_factor = 1.5\n"
            + "cold_allowance = 5\n[shutdown]\ngrace_s = " + graceS + "\n");
    }

    Process process(String name) {
        return processes.get(name);
    }

    void signal(String name, String signal) throws Exception {
        Process process = processes.get(name);
        note("signal " + signal + " to " + name + " pid=" + process.pid());
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Starts all control machines and waits until the operator's first config is accepted. */
    void startAll(int entries, String config) throws Exception {
        for (int i = 1; i <= controls; i++) startControl(i, true);
        for (int i = 1; i <= entries; i++) startEntry(i);
        putConfig(config, 30_000);
    }

    /** Sends a config until it is acknowledged, as the operator does; returns the last status. */
    int putConfig(String config, long limitMs) throws Exception {
        long endMs = nowMs() + limitMs;
        int status = 0;
        for (int i = 0; nowMs() < endMs; i++) {
            Answer answer = call(controlIp(1 + i % controls), controlPort, "POST", "/api/config/replace", config, 5_000);
            status = answer == null ? 0 : answer.status;
            String shown = config.length() > 400 ? config.substring(0, 400) + "... (" + config.length() + " bytes)" : config;
            if (i == 0) note("operator sends " + shown);
            if (status == 200 || (status >= 400 && status < 500 && status != 404)) break;
            Thread.sleep(200);
        }
        note("operator: config answered " + status);
        return status;
    }

    /** Waits until the entry says that it is ready. */
    void awaitReady(int entry) throws Exception {
        for (long endMs = nowMs() + 30_000; nowMs() < endMs; Thread.sleep(100)) {
            Answer answer = call(entryIp(entry), readyPort, "GET", "/api/ready", "", 1_000);
            if (answer != null && answer.status == 200) {
                note("entry-" + entry + " is ready");
                return;
            }
        }
        throw new IOException("the entry did not become ready");
    }

    /** A call of the operator or of a server; null without a complete answer. */
    static Answer call(String host, int port, String method, String path, String body, int limitMs) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), limitMs);
            socket.setSoTimeout(limitMs);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Type: application/json\r\n"
                + "Content-Length: " + bytes.length + "\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(bytes);
            return Answer.read(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            return null;
        }
    }

    /** Prints the last lines of each program to the record if a case could not run. */
    void tails() throws IOException {
        for (String name : processes.keySet()) {
            Path out = directory.resolve(name + ".out");
            if (!Files.exists(out)) continue;
            List<String> lines = Files.readAllLines(out);
            for (String line : lines.subList(Math.max(0, lines.size() - 15), lines.size())) note(name + ": " + line);
        }
    }

    /** The lines of a program's log that contain a text. */
    List<String> logLines(String name, String text) throws IOException {
        List<String> found = new ArrayList<>();
        for (String line : Files.readAllLines(directory.resolve(name + ".out"))) if (line.contains(text)) found.add(line);
        return found;
    }

    @Override
    public void close() throws Exception {
        for (Process process : processes.values()) process.destroyForcibly();
        for (Process process : processes.values()) process.waitFor(5, TimeUnit.SECONDS);
        try (var files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
        record.close();
    }

    /** One answer over HTTP/1.1. */
    static final class Answer {
        int status;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        static Answer read(InputStream input) throws IOException {
            Answer answer = new Answer();
            String line = readLine(input);
            if (line == null) return null;
            answer.status = Integer.parseInt(line.split(" ")[1]);
            readHeaders(input, answer.headers);
            answer.body = readBody(input, answer.headers, true);
            return answer;
        }
    }

    static void readHeaders(InputStream input, Map<String, String> headers) throws IOException {
        for (String line = readLine(input); line != null && !line.isEmpty(); line = readLine(input)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
    }

    static byte[] readBody(InputStream input, Map<String, String> headers, boolean isAnswer) throws IOException {
        String length = headers.get("content-length");
        if (length != null) {
            byte[] body = input.readNBytes(Integer.parseInt(length));
            if (body.length < Integer.parseInt(length)) throw new EOFException("the body ended early");
            return body;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equals(headers.get("transfer-encoding"))) {
            while (true) {
                String size = readLine(input);
                if (size == null) throw new EOFException("the body ended early");
                int bytes = Integer.parseInt(size.trim(), 16);
                body.write(input.readNBytes(bytes));
                readLine(input);
                if (bytes == 0) return body.toByteArray();
            }
        }
        return isAnswer ? input.readAllBytes() : new byte[0];
    }

    static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = input.read();
            if (b < 0) return line.size() == 0 ? null : line.toString(StandardCharsets.UTF_8);
            if (b == '\n') return line.toString(StandardCharsets.UTF_8).replaceAll("\r$", "");
            line.write(b);
        }
    }
}
