import java.nio.file.*;
import java.util.concurrent.atomic.*;

/** Case 1: an order that one control VM read late undoes a newer order that was acknowledged. */
final class StaleOrder {
    static final double EVACUATE_S = 5.0, STRETCH_S = 5.0, CONTACT_S = 3.0, FREEZE_S = 4.0;

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
        if (!site.begin()) { site.log("the deployment did not start"); return 2; }
        AtomicBoolean isOver = new AtomicBoolean();
        AtomicInteger sent = new AtomicInteger(), served = new AtomicInteger();
        for (int e = 0; e < site.entries; e++) {
            int entry = e;
            Deployment.daemon(() -> {
                for (int i = 0; !isOver.get() && i < 2_000; i++) {
                    sent.incrementAndGet();
                    String id = "q" + entry + "-" + i;
                    var answer = site.request(entry, id, "GET", "/look/x", "", 2500);
                    if (answer.status() == 200) served.incrementAndGet();
                    site.log("client " + id + " -> " + answer.status());
                    Deployment.sleep(50);
                }
            });
        }
        String start = "/api/evacuation/zone-b/start", end = "/api/evacuation/zone-b/end";
        Thread.sleep(2_000);
        if (!site.orderUntilAcknowledged("POST", start, "", 4, 0, 1)) return 2;
        Thread.sleep(6_000);

        // The evacuation is withdrawn. The operator asks control-4 first, which is frozen.
        if (isTrouble) site.signal("control-4", "STOP");
        double frozenAt = site.now();
        if (!site.orderUntilAcknowledged("POST", end, "", 4, 4, 1)) return 2;
        // A moment later the zone is to be empty again.
        Thread.sleep(500);
        if (!site.orderUntilAcknowledged("POST", start, "", 4, 0, 1)) return 2;
        double acknowledgedAt = site.now();
        site.log("the second evacuation is acknowledged");
        Thread.sleep(Math.max(0, (long) ((frozenAt + FREEZE_S - site.now()) * 1000)));
        if (isTrouble) site.signal("control-4", "CONT");
        double thawedAt = site.now();
        Thread.sleep((long) ((EVACUATE_S + CONTACT_S + 7) * 1000));
        isOver.set(true);

        // Only requests at times at which the bound has passed (stretched by max_stretch_ms) and all machines are in touch again.
        double from = Math.max(acknowledgedAt + EVACUATE_S + STRETCH_S, thawedAt + CONTACT_S);
        long late = site.arrivals.stream().filter(a -> a.at() > from && a.zone().equals("zone-b")).count();
        long elsewhere = site.arrivals.stream().filter(a -> a.at() > from && !a.zone().equals("zone-b")).count();
        site.log(String.format("judged from %.3f: %d requests in the evacuated zone, %d elsewhere; sent %d, served %d",
            from, late, elsewhere, sent.get(), served.get()));
        if (late + elsewhere < 20) return 2;
        return late > 0 ? 1 : 0;
    }
}
