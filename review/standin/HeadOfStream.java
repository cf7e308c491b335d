import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;

/** Case 3: HEAD on a stream route leaves bytes on the kept channel that belong to no answer. */
final class HeadOfStream {
    private static final int ROUNDS = 20;

    public static void main(String[] args) throws Exception {
        String method = "0".equals(System.getenv("TROUBLE")) ? "GET" : "HEAD";
        int code = 2;
        try (Deployment site = new Deployment(Path.of(args[0]), Path.of(args[1]), 3, 1)) {
            if (site.begin()) code = run(site, method);
            else site.log("the deployment did not start");
            site.log("result " + code);
        }
        System.exit(code);
    }

    private static int run(Deployment site, String method) throws Exception {
        int broken = 0, read = 0;
        for (int i = 0; i < ROUNDS; i++) {
            try (Socket channel = new Socket(site.entryIp(0), site.frontPort)) {
                channel.setSoTimeout(4000);
                InputStream in = new BufferedInputStream(channel.getInputStream());
                String first = exchange(site, channel, in, method, "/write/x", "s" + i);
                if (!first.startsWith("HTTP/1.1 200")) return 2;
                // The channel is kept, so that the client uses it for its next request.
                String second = exchange(site, channel, in, "GET", "/look/x", "n" + i);
                // A channel that is closed instead has given no bytes that are no answer.
                if (second.isEmpty()) continue;
                read++;
                if (!second.startsWith("HTTP/1.1 ")) broken++;
            }
        }
        site.log(read + " second answers on kept channels, " + broken + " of them begin with bytes that are no answer");
        if (read == 0) return 2;
        return broken > 0 ? 1 : 0;
    }

    /** Sends a request on the channel, reads its answer as HTTP/1.1 says, and returns the first line. */
    private static String exchange(Deployment site, Socket channel, InputStream in, String method, String path, String id)
        throws IOException {
        channel.getOutputStream().write((method + " " + path + " HTTP/1.1\r\nHost: site.example\r\nFulmarshunt-Request-Id: " + id
            + "\r\nFulmarshunt-Deadline-Ms: 2500\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        channel.getOutputStream().flush();
        String first = Deployment.line(in);
        if (first != null && first.startsWith("HTTP/1.1 ")) {
            Map<String, String> headers = Deployment.headers(in);
            if (!method.equals("HEAD")) Deployment.body(in, headers);
        }
        site.log("client " + id + " " + method + " " + path + " -> first line \"" + first + "\"");
        return first == null ? "" : first;
    }
}
