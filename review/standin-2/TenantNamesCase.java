import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A config names two tenants whose names have a letter that is not in Latin-1. The server reads Fulmarshunt-Tenant as
 * UTF-8, and notes whether it is the same for both tenants.
 */
public final class TenantNamesCase {
    private final Deployment deployment;
    private final Map<String, String> runs = new ConcurrentHashMap<>();

    private TenantNamesCase(Deployment deployment) {
        this.deployment = deployment;
    }

    public static void main(String[] arguments) throws Exception {
        int code = 2;
        try (Deployment deployment = new Deployment(Path.of(arguments[0]), 3, 8)) {
            try {
                code = new TenantNamesCase(deployment).run();
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
        // Without the disruption, the names are in ASCII.
        String one = deployment.trouble ? "\u014baar" : "naar";
        String two = deployment.trouble ? "\u0161aar" : "saar";
        String tenants = "{\"name\":\"" + one + "\",\"api_keys\":[\"key-one\"]},"
            + "{\"name\":\"" + two + "\",\"api_keys\":[\"key-two\"]}";
        for (int i = 1; i <= 3; i++) deployment.startControl(i, true);
        deployment.startEntry(1);
        // A refusal would keep the names from doing harm.
        int status = deployment.putConfig(config(7, tenants), 30_000);
        if (status >= 400 && status < 500) return 0;
        if (status != 200) throw new IOException("the config was not answered");
        try (Server app = new Server(deployment, "i-app", "app", 6, "127.0.0.60", (request, output) -> {
            String tenant = request.headers.get("fulmarshunt-tenant");
            runs.put(request.id(), "" + tenant);
            deployment.note("server runs " + request.id() + " tenant=" + tenant);
            Server.write(output, Server.success(request, "Content-Length: 2\r\n\r\nok"));
        })) {
            deployment.awaitReady(1);
            int tries = 0;
            while (send("warm-" + tries, "key-one") != 200) {
                if (++tries > 100) throw new IOException("nothing is served");
                Thread.sleep(200);
            }
            for (int i = 0; i < 5; i++) {
                send("one-" + i, "key-one");
                send("two-" + i, "key-two");
            }
        }
        int wrong = 0;
        for (Map.Entry<String, String> run : runs.entrySet()) {
            String name = run.getKey().startsWith("two") ? two : one;
            if (!run.getValue().equals(name)) wrong += 1;
        }
        boolean isSame = runs.get("one-0") != null && runs.get("one-0").equals(runs.get("two-0"));
        deployment.note("runs=" + runs.size() + ", with a Fulmarshunt-Tenant that is not the tenant of the key=" + wrong
            + ", both tenants look the same=" + isSame);
        // A name in another encoding would still tell the tenants apart.
        return isSame ? 1 : 0;
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
