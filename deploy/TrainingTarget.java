/*
 * A target for the training run of archive-classes.sh: it answers each request with a stream of events or a short body,
 * so that the classes that relay them are loaded. Run with the port as its argument; it is started as a source file.
 */

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

public final class TrainingTarget {
    private static final int EVENTS = 20;
    private static final int EVENT_PERIOD_MS = 20;

    public static void main(String[] arguments) throws IOException {
        int port = Integer.parseInt(arguments[0]);
        try (ServerSocket server = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"))) {
            while (true) {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> serve(socket));
                thread.setDaemon(true);
                thread.start();
            }
        }
    }

    private static void serve(Socket socket) {
        try (socket) {
            BufferedReader input =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            OutputStream output = socket.getOutputStream();
            String start = input.readLine();
            while (start != null) {
                String id = "";
                int length = 0;
                for (String line = input.readLine(); line != null && !line.isEmpty(); line = input.readLine()) {
                    String name = line.substring(0, line.indexOf(':')).toLowerCase();
                    String value = line.substring(line.indexOf(':') + 1).trim();
                    if (name.equals("fulmarshunt-request-id")) id = value;
                    if (name.equals("content-length")) length = Integer.parseInt(value);
                }
                for (int read = 0; read < length; read++) input.read();
                respond(output, start, id);
                start = input.readLine();
            }
        } catch (IOException | InterruptedException e) {
            // The caller has disconnected.
        }
    }

    private static void respond(OutputStream output, String start, String id) throws IOException, InterruptedException {
        String head = "Fulmarshunt-Request-Id: " + id + "\r\nFulmarshunt-Server-Stamp: 1\r\n";
        if (start.contains("/stream/")) {
            write(output, "HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n");
            for (int number = 1; number <= EVENTS; number++) {
                String event = "id: " + number + "\ndata: token\n\n";
                write(output, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
                Thread.sleep(EVENT_PERIOD_MS);
            }
            write(output, "0\r\n\r\n");
        } else if (start.contains("/refused/")) {
            write(output, "HTTP/1.1 503 Full\r\n" + head + "Fulmarshunt-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        } else {
            write(output, "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 2\r\n\r\nok");
        }
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }
}
