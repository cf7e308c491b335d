import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A config takes the last tenant away: its list of tenants is empty. Requests with the key that was taken away, with a
 * key that no config ever held and without a key follow, later than config_apply_ms after the acknowledgement.
 */
public final class TenantsCase {
    private static final int CONFIG_APPLY_MS = 2_000;

    private final Deployment deployment;
    private final Map<String, String> runs = new ConcurrentHashMap<>();

    private TenantsCase(Deployment deployment) {
        this.deployment = deployment;
    }

    public static void main(String[] arguments) throws Exception {
        int code = 2;
        try (Deployment deployment = new Deployment(Path.of(arguments[0]), 3, 8)) {
            try {
                code = new TenantsCase(deployment).run();
            } catch (Exception e) {
                deployment.note("could not run: " + e);
                deployment.tails();
            }
            deployment.note("exit " + code);
        }
        System.exit(code);
    }

    private static String config(int version, String tenants) {
        return "{\"version\":" + version + ",\"routes\":["
            + "{\"name\":\"r-unsafe\",\"host\":\"h.example\",\"path_prefix\":\"/book/\",\"type\":\"unsafe\",\"timeout_ms\":2500,"
            + "\"slo_ms\":193,\"priority\":1,\"service\":\"app\",\"max_attempts\":1,\"public\":false}],\"services\":["
            + "{\"name\":\"app\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000},\"tenants\":[" + tenants + "]}";
    }

    private int run() throws Exception {
        String first = "{\"name\":\"huka270\",\"api_keys\":[\"key-one\"]}";
        deployment.startAll(1, config(7, first));
        try (Server app = new Server(deployment, "i-app", "app", 6, "127.0.0.60", (request, output) -> {
            runs.put(request.id(), "tenant=" + request.headers.get("fulmarshunt-tenant"));
            deployment.note("server runs " + request.id() + " " + runs.get(request.id()));
            Server.write(output, Server.success(request, "Content-Length: 2\r\n\r\nok"));
        })) {
            deployment.awaitReady(1);
            int tries = 0;
            while (send("warm-" + tries, "key-one") != 200) {
                if (++tries > 100) throw new IOException("nothing is served");
                Thread.sleep(200);
            }
            send("before-never-held", "key-never-held");
            send("before-none", null);
            // Without the disruption, the tenant keeps its key in the new version.
            int status = deployment.putConfig(config(9, deployment.trouble ? "" : first), 10_000);
            if (status != 200) return 0;
            Thread.sleep(CONFIG_APPLY_MS + 1_000);
            for (int i = 0; i < 5; i++) {
                send("after-taken-away-" + i, "key-one");
                send("after-never-held-" + i, "key-never-held");
                send("after-none-" + i, null);
            }
        }
        long neverHeld = runs.keySet().stream().filter(id -> id.contains("never-held")).count();
        long none = runs.keySet().stream().filter(id -> id.contains("none")).count();
        long takenAway = runs.keySet().stream().filter(id -> id.startsWith("after-taken-away")).count();
        deployment.note("ran with a key that no config ever held: " + neverHeld
            + "; ran without a key, which is not judged: " + none
            + "; ran with the key that was taken away: " + (deployment.trouble ? takenAway : 0));
        return neverHeld > 0 || (deployment.trouble && takenAway > 0) ? 1 : 0;
    }

    private int send(String id, String key) {
        int status = 0;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(deployment.entryIp(1), deployment.frontPort), 1_000);
            socket.setSoTimeout(3_000);
            String head = "POST /book/a HTTP/1.1\r\nHost: h.example\r\nFulmarshunt-Request-Id: " + id
                + "\r\nFulmarshunt-Deadline-Ms: 2500\r\n" + (key == null ? "" : "Api-Key: " + key + "\r\n")
                + "Content-Length: 2\r\n\r\nhi";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            Deployment.Answer answer = Deployment.Answer.read(new BufferedInputStream(socket.getInputStream()));
            if (answer != null) status = answer.status;
        } catch (IOException e) {
            // Counts as no answer.
        }
        deployment.note("client sent " + id + " with key " + key + ", answer " + status);
        return status;
    }
}
