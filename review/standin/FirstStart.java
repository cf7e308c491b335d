import java.nio.file.*;

/** Case 2: a control VM is lost for good while the whole system starts for the first time, and is replaced. */
final class FirstStart {
    private static final int VICTIM = 4, SUCCESSOR = 5;
    /** From here on, traffic runs; the pages start it 15 s after the machines. */
    private static final double TRAFFIC_AT_S = 15;
    /** Long enough that nothing waits for a time limit any more: the programs forget a silent VM after 60 s. */
    private static final double END_S = 92;

    public static void main(String[] args) throws Exception {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Deployment site = new Deployment(Path.of(args[0]), Path.of(args[1]), 5, 2)) {
            code = run(site, isTrouble);
            site.log("result " + code);
        }
        System.exit(code);
    }

    private static int run(Deployment site, boolean isTrouble) throws Exception {
        for (int i = 0; i < site.controls; i++) site.startControl(i, true);
        for (int i = 0; i < site.entries; i++) site.startEntry(i);
        site.new Server(Deployment.ZONES[0]);
        site.new Server(Deployment.ZONES[1]);
        if (isTrouble) {
            // The machine is lost once another one knows it, and comes back never.
            Path log = site.folder.resolve("control-0.log");
            while (!Files.readString(log).contains("learned vm=control-" + VICTIM)) {
                if (site.now() > 20) return 2;
                Thread.sleep(10);
            }
            site.signal("control-" + VICTIM, "KILL");
            Thread.sleep(1_000);
            site.startControl(SUCCESSOR, false);
        }
        int[] nodes = isTrouble ? new int[] {0, 1, 2, 3, SUCCESSOR} : new int[] {0, 1, 2, 3, 4};
        boolean isAcknowledged = site.orderUntilAcknowledged("POST", "/api/config/replace", Deployment.config(3), END_S - site.now(), nodes);
        if (isAcknowledged) Thread.sleep(Math.max(0, (long) ((TRAFFIC_AT_S - site.now()) * 1000)));
        int sent = 0, served = 0;
        for (; sent < 20 && site.now() < END_S + 12; sent++) {
            var answer = site.request(sent % site.entries, "q" + sent, "GET", "/look/x", "", 2500);
            site.log("client q" + sent + " -> " + answer.status() + " " + answer.body());
            if (answer.status() == 200) served++;
        }
        site.log("first config acknowledged: " + isAcknowledged + ", requests sent " + sent + ", served " + served);
        return served > 0 ? 0 : 1;
    }
}
