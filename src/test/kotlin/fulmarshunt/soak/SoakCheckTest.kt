/*
 * The checks of the fault soak on records written by hand.
 */
package fulmarshunt.soak

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.io.IOException
import java.io.InputStream
import kotlin.random.Random

/** The events at the given milliseconds; each line is `ms KIND name=value ...`. */
private fun events(text: String): List<SoakEvent> = text.trimIndent().lines()
    .map { checkNotNull(soakEventOrNull(it.substringBefore(' ') + "000000 " + it.substringAfter(' '))) }
    .sortedBy { it.atNs }

private fun rules(text: String) = checkSoak(events(text)).map { it.rule }

private const val SENT = "1000 SEND request=q kind=unsafe service=s entry=entry-1"
private const val FIRST_RUN = "1010 BEGIN request=q target=a from="

class SoakCheckTest {
    /** Guards against a second run that is not found. */
    @Test
    fun `an unsafe request on two targets breaks TWICE`() {
        val found =
            checkSoak(events("$SENT\n$FIRST_RUN\n1100 END request=q target=a\n1200 BEGIN request=q target=b from="))
        expectThat(found.map { it.rule }).isEqualTo(listOf(SoakRule.TWICE))
        expectThat(found.single().evidence).contains("former=a").contains("next=b").contains("entry=entry-1")
    }

    /** Guards against findings for requests that may be repeated. */
    @Test
    fun `a safe request on two targets is allowed`() {
        val safe = SENT.replace("unsafe", "safe")
        expectThat(rules("$safe\n$FIRST_RUN\n1200 BEGIN request=q target=b from=")).isEmpty()
    }

    /** Guards against a continuation beside a working target that is not found, and against a wrong bound. */
    @Test
    fun `a continuation may overlap with the former run for 400 ms`() {
        val next = "2000 BEGIN request=q target=b from=a/q"
        expectThat(rules("$SENT\n$FIRST_RUN\n2399 END request=q target=a\n$next")).isEmpty()
        expectThat(rules("$SENT\n$FIRST_RUN\n2401 END request=q target=a\n$next")).isEqualTo(listOf(SoakRule.TWICE))
        expectThat(rules("$SENT\n$FIRST_RUN\n1900 KILLED node=a\n$next")).isEmpty()
        expectThat(rules("$SENT\n$FIRST_RUN\n3000 KILLED node=a\n$next")).isEqualTo(listOf(SoakRule.TWICE))
    }

    /** Guards against findings that the disturbance of the entry VM or the former target excuses. */
    @Test
    fun `a disturbance excuses an overlap for 3 s`() {
        val runs = "$SENT\n$FIRST_RUN\n9000 BEGIN request=q target=b from=a/q\n9900 END request=q target=a"
        for (node in listOf("entry-1", "a")) {
            expectThat(rules("$runs\n4000 DISTURBED node=$node\n6100 RECOVERED node=$node")).isEmpty()
            expectThat(rules("$runs\n4000 DISTURBED node=$node\n5900 RECOVERED node=$node"))
                .isEqualTo(listOf(SoakRule.TWICE))
        }
        expectThat(rules("$runs\n4000 DISTURBED node=entry-2\n8000 RECOVERED node=entry-2"))
            .isEqualTo(listOf(SoakRule.TWICE))
    }

    private fun repeats(count: Int, atMs: (Int) -> Int) = (1..count).joinToString("\n") {
        "${atMs(it)} SEND request=q$it kind=safe service=s entry=entry-1\n" +
            "${atMs(it)} ARRIVE request=q$it service=s target=a\n${atMs(it) + 1} ARRIVE request=q$it service=s target=b"
    }

    /** Guards against repeats over the budget that are not found, and against a wrong sum. */
    @Test
    fun `repeats over the budget break BUDGET`() {
        // 70 requests allow 0.2 x 70 + 56 = 70 repeats; one repeat more without a request more breaks the rule.
        val allowed = repeats(70) { 1_000 + it }
        expectThat(rules(allowed)).isEmpty()
        expectThat(rules("$allowed\n1500 ARRIVE request=q1 service=s target=c")).isEqualTo(listOf(SoakRule.BUDGET))
        expectThat(rules("$allowed\n11200 ARRIVE request=q1 service=s target=c")).isEmpty()
        expectThat(rules("$allowed\n1500 ARRIVE request=q1 service=t target=c")).isEmpty()
    }

    /** Guards against findings for repeats that the requests of the window before allow. */
    @Test
    fun `requests of the window before count`() {
        val requests = (1..200).joinToString("\n") {
            "${2_000 + it} SEND request=p$it kind=safe service=s entry=entry-1"
        }
        val late = repeats(71) { 30_000 + it } + "\n31000 ARRIVE request=q1 service=s target=c"
        expectThat(rules(late)).isEqualTo(listOf(SoakRule.BUDGET))
        expectThat(rules("$requests\n$late")).isEqualTo(listOf(SoakRule.BUDGET))
        expectThat(rules("${requests.replace(Regex("(?m)^2"), "12")}\n$late")).isEmpty()
    }

    /** Guards against requests without a connection, which no entry VM can have seen, that raise the budget. */
    @Test
    fun `requests that were not sent do not raise the budget`() {
        val repeats = repeats(71) { 1_000 + it } + "\n1500 ARRIVE request=q1 service=s target=c"
        fun more(connection: String) = (1..50).joinToString("") {
            "\n1001 SEND request=p$it kind=safe service=s entry=entry-1 connection=$connection"
        }
        expectThat(rules(repeats + more("none"))).isEqualTo(listOf(SoakRule.BUDGET))
        expectThat(rules(repeats + more("new"))).isEmpty()
    }

    private fun evacuated(arrivalMs: Int, more: String = "") =
        "1000 ACKNOWLEDGED path=/api/evacuation/z/start\n20000 ORDER path=/api/evacuation/z/end\n" +
            "${arrivalMs - 10} SEND request=q kind=unsafe service=s entry=entry-1\n" +
            "$arrivalMs ARRIVE request=q service=s target=a zone=z misdirected=false$more"

    /** Guards against traffic to a drained domain that is not found, and against a wrong span. */
    @Test
    fun `a late request to an evacuated domain breaks EVAC`() {
        expectThat(rules(evacuated(6_001))).isEqualTo(listOf(SoakRule.EVAC))
        expectThat(rules(evacuated(5_999))).isEmpty()
        expectThat(rules(evacuated(20_001))).isEmpty()
        expectThat(rules(evacuated(8_000).replace("zone=z", "zone=y"))).isEmpty()
        expectThat(rules(evacuated(8_000).replace("misdirected=false", "misdirected=true"))).isEmpty()
    }

    /** Guards against findings that an unstable core or a disturbed entry VM excuses. */
    @Test
    fun `disturbances of the core stretch EVAC and those of the entry VM excuse it`() {
        val core = "\n2000 DISTURBED node=control-1\n4000 RECOVERED node=control-1"
        expectThat(rules(evacuated(10_999, core))).isEmpty()
        expectThat(rules(evacuated(11_001, core))).isEqualTo(listOf(SoakRule.EVAC))
        val entry = "\n5000 DISTURBED node=entry-1\n7000 RECOVERED node=entry-1"
        expectThat(rules(evacuated(9_999, entry))).isEmpty()
        expectThat(rules(evacuated(10_001, entry))).isEqualTo(listOf(SoakRule.EVAC))
    }

    /** Guards against promises that are not checked. */
    @Test
    fun `a refusal of a request that ran breaks REFUSED`() {
        val refused = "1300 ANSWER request=q status=503"
        expectThat(rules("$SENT\n$FIRST_RUN\n$refused")).isEqualTo(listOf(SoakRule.REFUSED))
        expectThat(rules("$SENT\n$refused\n${FIRST_RUN.replace("1010", "1900")}")).isEqualTo(listOf(SoakRule.REFUSED))
        expectThat(rules("$SENT\n1010 REFUSE request=q target=a\n$refused")).isEmpty()
        expectThat(rules("$SENT\n$FIRST_RUN\n1300 ANSWER request=q status=502")).isEmpty()
    }

    /** Guards against responses of other requests that pass as sound. */
    @Test
    fun `a success that is not sound breaks MIXED`() {
        expectThat(rules("$SENT\n1300 ANSWER request=q status=200 sound=false")).isEqualTo(listOf(SoakRule.MIXED))
        expectThat(rules("$SENT\n1300 ANSWER request=q status=200 sound=true")).isEmpty()
        expectThat(rules("$SENT\n1300 ANSWER request=q status=502 sound=false")).isEmpty()
    }

    /** A request whose connection its entry VM ends at [endMs], after SIGTERM at 1,000 ms. */
    private fun cut(endMs: Int, more: String = "", sentMs: Int = 1_500, by: String = "peer") =
        "1000 DISTURBED node=entry-1 action=SIGTERM\n" +
            "$sentMs SEND request=q kind=safe service=s entry=entry-1 connection=new limit_ms=20000\n" +
            "$sentMs SENT request=q\n$endMs FAIL request=q by=$by status=0" + if (more.isEmpty()) "" else "\n$more"

    private fun run(endMs: Int, reason: String) = "1510 ARRIVE request=q service=s target=a zone=z\n" +
        "1511 BEGIN request=q target=a from=\n$endMs END request=q target=a reason=$reason"

    /** Guards against requests that are cut by a planned stop and are not found. */
    @Test
    fun `a request cut off around SIGTERM breaks LOST`() {
        expectThat(rules(cut(1_701))).isEqualTo(listOf(SoakRule.LOST))
        expectThat(rules(cut(1_700))).isEmpty()
        expectThat(rules(cut(1_600, run(1_600, "closed")))).isEqualTo(listOf(SoakRule.LOST))
        expectThat(rules(cut(9_999))).isEqualTo(listOf(SoakRule.LOST))
        expectThat(rules(cut(10_001))).isEmpty()
        expectThat(rules(cut(5_000).replace("entry-1 action", "entry-2 action"))).isEmpty()
    }

    /** Guards against findings for requests that the process had not read whole. */
    @Test
    fun `a request that was not sent whole or met no process is allowed`() {
        expectThat(rules(cut(5_000).replace("1500 SENT request=q", "1500 SENT request=p"))).isEmpty()
        val late = cut(4_000, sentMs = 3_000)
        expectThat(rules("$late\n2900 ENDED node=entry-1 action=exit")).isEmpty()
        expectThat(rules("$late\n2900 ENDED node=entry-1 action=exit\n2950 RECOVERED node=entry-1"))
            .isEqualTo(listOf(SoakRule.LOST))
        expectThat(rules("$late\n3100 ENDED node=entry-1 action=exit")).isEqualTo(listOf(SoakRule.LOST))
    }

    /** Guards against findings for requests that the client, its time limit or the target has ended. */
    @Test
    fun `clients, time limits and targets that end a request excuse LOST`() {
        expectThat(rules(cut(5_000, by = "client"))).isEmpty()
        expectThat(rules(cut(5_000).replace("limit_ms=20000", "limit_ms=3500"))).isEmpty()
        for (reason in listOf("lost", "reset", "exit")) expectThat(rules(cut(5_000, run(4_900, reason)))).isEmpty()
        for (reason in listOf("closed", "stopped", "done")) {
            expectThat(rules(cut(5_000, run(4_900, reason)))).isEqualTo(listOf(SoakRule.LOST))
        }
        val working = run(6_000, "closed")
        expectThat(rules(cut(5_000, "$working\n4900 DISTURBED node=a action=SIGKILL"))).isEmpty()
        expectThat(rules(cut(5_000, "$working\n4900 DISTURBED node=a action=SIGSTOP")))
            .isEqualTo(listOf(SoakRule.LOST))
    }

    /** Guards against a refused continuation that hides how the run at the target before it has ended. */
    @Test
    fun `the end of the last run that was not refused decides about LOST`() {
        val next = "4000 ARRIVE request=q service=s target=b zone=z"
        val refused = "$next\n4001 REFUSE request=q target=b reason=no_copy"
        expectThat(rules(cut(5_000, "${run(4_900, "exit")}\n$refused"))).isEmpty()
        expectThat(rules(cut(5_000, "${run(4_900, "closed")}\n$refused"))).isEqualTo(listOf(SoakRule.LOST))
        expectThat(rules(cut(5_000, "${run(4_900, "exit")}\n$next"))).isEqualTo(listOf(SoakRule.LOST))
    }

    /** Guards against a wrong bound of the excuse for long requests, and against one for streams that only wait. */
    @Test
    fun `work in the last sixth of the grace period excuses LOST only for requests sent by 3 s`() {
        val late = run(8_900, "closed")
        expectThat(rules(cut(8_900, late))).isEmpty()
        expectThat(rules(cut(8_900, late.replace("1511 BEGIN", "8901 BEGIN")))).isEqualTo(listOf(SoakRule.LOST))
        expectThat(rules(cut(7_000, late))).isEqualTo(listOf(SoakRule.LOST))
        expectThat(rules(cut(8_900, run(7_600, "closed")))).isEqualTo(listOf(SoakRule.LOST))
        val moved = late.replace("1510", "4010").replace("1511", "4011")
        expectThat(rules(cut(8_900, moved, sentMs = 4_000))).isEmpty()
        expectThat(rules(cut(8_900, moved, sentMs = 4_001))).isEqualTo(listOf(SoakRule.LOST))
    }

    /** Guards against an excuse by the planned stop itself, and against a wrong span of the others. */
    @Test
    fun `an unplanned disturbance of the entry VM excuses LOST for 3 s`() {
        fun disturbed(endMs: Int, node: String = "entry-1") =
            "\n500 DISTURBED node=$node action=SIGSTOP\n$endMs RECOVERED node=$node"
        val lost = cut(8_000, sentMs = 4_500)
        expectThat(rules(lost + disturbed(1_501))).isEmpty()
        expectThat(rules(lost + disturbed(1_499))).isEqualTo(listOf(SoakRule.LOST))
        expectThat(rules(lost + disturbed(1_501, "entry-2"))).isEqualTo(listOf(SoakRule.LOST))
    }

    private fun keptLosses(count: Int, more: String = "") = (1..count).joinToString("\n") {
        "${1_000 + it} SEND request=q$it kind=safe service=s entry=entry-1 connection=kept limit_ms=2500\n" +
            "${1_001 + it} SENT request=q$it\n${1_010 + it} ARRIVE request=q$it service=s target=a\n" +
            "${1_020 + it} FAIL request=q$it by=peer status=0"
    } + more

    /** Guards against requests that are lost on kept connections without a planned stop. */
    @Test
    fun `more than three requests lost on kept connections break LOST`() {
        expectThat(rules(keptLosses(4))).isEqualTo(List(4) { SoakRule.LOST })
        expectThat(rules(keptLosses(3))).isEmpty()
        expectThat(rules(keptLosses(4).replace("connection=kept", "connection=new"))).isEmpty()
        expectThat(rules(keptLosses(4).replace("status=0", "status=200"))).isEmpty()
        expectThat(rules(keptLosses(4, "\n500 INJECTED node=a action=RESET:0.3"))).isEmpty()
        expectThat(rules(keptLosses(4, "\n500 DISTURBED node=entry-1 action=SIGKILL"))).isEmpty()
    }

    private fun paused(arrivalsMs: List<Int>, more: String = "") =
        (0..arrivalsMs.size).joinToString("\n") { "900 SEND request=q$it kind=safe service=s entry=entry-1" } +
            "\n1000 REFUSE request=q0 target=a reason=paused retry_after_ms=2000" +
            arrivalsMs.withIndex().joinToString("") { (index, atMs) ->
                "\n$atMs ARRIVE request=q${index + 1} service=s target=a"
            } + more

    /** Guards against requests to a target that has asked for a pause, and against a wrong span. */
    @Test
    fun `more than two requests during a pause break BUDGET`() {
        expectThat(rules(paused(listOf(1_501, 1_600, 2_999)))).isEqualTo(listOf(SoakRule.BUDGET))
        expectThat(rules(paused(listOf(1_499, 1_600, 2_999)))).isEmpty()
        expectThat(rules(paused(listOf(1_501, 1_600, 3_001)))).isEmpty()
        expectThat(rules(paused(listOf(1_501, 1_600, 2_999)).replace("2999 ARRIVE", "2999 ARRIVE stalled_ms=1500")))
            .isEmpty()
        expectThat(rules(paused(listOf(1_501, 1_600, 2_999), "\n1200 DISTURBED node=entry-1 action=SIGSTOP"))).isEmpty()
    }

    /** Guards against requests that run at more targets than their route allows. */
    @Test
    fun `more than three requests at more targets than allowed break BUDGET`() {
        fun requests(count: Int) = (1..count).joinToString("\n") { number ->
            "1000 SEND request=q$number kind=safe service=s entry=entry-1 max_attempts=2\n" +
                listOf("a", "b", "c").joinToString("\n") { "1010 BEGIN request=q$number target=$it from=" }
        }
        expectThat(rules(requests(4))).isEqualTo(List(4) { SoakRule.BUDGET })
        expectThat(rules(requests(3))).isEmpty()
        expectThat(rules(requests(4).replace("target=c from=", "target=c from=a/h"))).isEmpty()
        expectThat(rules(requests(4) + "\n1010 DISTURBED node=a action=SIGKILL")).isEmpty()
    }

    /** Guards against targets that are given more time than the client has. */
    @Test
    fun `targets that get more time than is left break BUDGET`() {
        fun arrivals(count: Int, more: String) = (1..count).joinToString("\n") {
            "1000 SEND request=q$it kind=safe service=s entry=entry-1 limit_ms=2500\n" +
                "1010 ARRIVE request=q$it service=s target=a $more"
        }
        expectThat(rules(arrivals(21, "deadline_ms=3001"))).isEqualTo(List(21) { SoakRule.BUDGET })
        expectThat(rules(arrivals(21, "deadline_ms=none"))).isEqualTo(List(21) { SoakRule.BUDGET })
        expectThat(rules(arrivals(20, "deadline_ms=3001"))).isEmpty()
        expectThat(rules(arrivals(21, "deadline_ms=3000"))).isEmpty()
        fun repeated(deadlineMs: Int) = arrivals(21, "deadline_ms=2490") + "\n" + (1..21).joinToString("\n") {
            "2000 ARRIVE request=q$it service=s target=b deadline_ms=$deadlineMs"
        }
        expectThat(rules(repeated(2_001))).isEqualTo(List(21) { SoakRule.BUDGET })
        expectThat(rules(repeated(2_000))).isEmpty()
    }

    /** Guards against requests that crash one target after the other without being recognized. */
    @Test
    fun `more than three retries of a request that has crashed three targets break BUDGET`() {
        fun arrivals(count: Int, fromMs: Int) = (1..count).joinToString("\n") {
            "1000 SEND request=q$it kind=safe service=s entry=entry-1 crashing=c\n" +
                "${fromMs + it} ARRIVE request=q$it service=s target=d$it"
        }
        fun crashes(count: Int) =
            (1..count).joinToString("\n") { "${1000 + it} KILLED node=d$it request=q$it style=EXIT" }
        expectThat(rules("${arrivals(4, 4_003)}\n${crashes(3)}")).isEqualTo(listOf(SoakRule.BUDGET))
        expectThat(rules("${arrivals(3, 4_003)}\n${crashes(3)}")).isEmpty()
        expectThat(rules("${arrivals(4, 3_999)}\n${crashes(3)}")).isEmpty()
        expectThat(rules("${arrivals(4, 4_003)}\n${crashes(2)}")).isEmpty()
        val disturbed = "3500 DISTURBED node=entry-1 action=SIGSTOP"
        expectThat(rules("${arrivals(4, 4_003)}\n${crashes(3)}\n$disturbed")).isEmpty()
    }

    private fun limited(count: Int, fromMs: Int, entry: String = "entry-1", more: String = "") =
        "1000 INJECTED node=a action=LIMIT:2.0\n1000 SEND request=q kind=safe service=s entry=entry-1\n" +
            "1010 LIMITED request=q target=a limit=2.0\n1020 ANSWER request=q status=200 sound=true\n" +
            (1..count).joinToString("\n") {
                "900 SEND request=q$it kind=safe service=s entry=$entry\n" +
                    "${fromMs + it} ARRIVE request=q$it service=s target=a"
            } + more

    /** Guards against requests over the limit of a target that are not found, and against a wrong sum. */
    @Test
    fun `more requests than a target's limit allows break LIMIT`() {
        // A limit of 2/s allows 1.5 x 2 x 4 + 5 = 17 requests in 4 s.
        expectThat(rules(limited(18, 5_000))).isEqualTo(listOf(SoakRule.LIMIT))
        expectThat(rules(limited(17, 5_000))).isEmpty()
        expectThat(rules(limited(18, 3_000))).isEmpty()
        expectThat(rules(limited(18, 5_000, more = "\n5010 INJECTED node=a action=LIMIT:0.0"))).isEmpty()
    }

    /** Guards against findings for entry VMs that were not told of a limit or have been disturbed since. */
    @Test
    fun `entry VMs that were not told or were disturbed are not counted for LIMIT`() {
        expectThat(rules(limited(18, 5_000, entry = "entry-2"))).isEmpty()
        expectThat(rules(limited(18, 5_000).replace("1020 ANSWER", "4800 ANSWER"))).isEmpty()
        val restart = "\n2000 DISTURBED node=entry-1 action=SIGTERM\n2100 RECOVERED node=entry-1"
        expectThat(rules(limited(18, 5_200, more = restart))).isEmpty()
    }

    private val stopped = "1900 END request=q target=a reason=stopped"

    private fun stream(seen: String, framed: Boolean = true, end: String = stopped) =
        "1000 SEND request=q kind=stream service=s entry=entry-1\n" +
            "1010 BEGIN request=q target=a from= framed=$framed\n${end.replace("reason", "framed=$framed reason")}\n" +
            "2000 ANSWER request=q status=200 sound=true order=$seen"

    /** Guards against streams that look complete too early, or hold wrong events, and are not found. */
    @Test
    fun `a stream that ends as complete too early or holds other events breaks ORDER`() {
        for (framed in listOf(true, false)) {
            for (reason in listOf("stopped", "done", "closed")) {
                val end = "1900 END request=q target=a reason=$reason"
                expectThat(rules(stream("complete_after=3_of=9", framed, end))).isEqualTo(listOf(SoakRule.ORDER))
            }
            expectThat(rules(stream("", framed))).isEmpty()
            expectThat(rules(stream("differs_after=3", framed))).isEqualTo(listOf(SoakRule.ORDER))
        }
        expectThat(rules(stream("differs_after=3").replace("ANSWER", "FAIL by=peer")))
            .isEqualTo(listOf(SoakRule.ORDER))
        val found = checkSoak(events(stream("complete_after=3_of=9") + "\n1800 MOVE request=q target=a answer=CLOSED"))
        expectThat(found.single().evidence).contains("last_moves=a@0.800:CLOSED").contains("END:a@0.900:stopped")
    }

    /** Guards against findings for unframed streams that their target broke off, and against that excuse for others. */
    @Test
    fun `a target that breaks off an unframed stream excuses its early end`() {
        val seen = "complete_after=3_of=9"
        for (reason in listOf("lost", "reset", "exit")) {
            val end = "1900 END request=q target=a reason=$reason"
            expectThat(rules(stream(seen, framed = false, end))).isEmpty()
            expectThat(rules(stream(seen, framed = true, end))).isEqualTo(listOf(SoakRule.ORDER))
            expectThat(rules(stream("differs_after=3", framed = false, end))).isEqualTo(listOf(SoakRule.ORDER))
            val continued = "$end\n1950 BEGIN request=q target=b from=a/h framed=false\n" +
                "1990 END request=q target=b reason=stopped"
            expectThat(rules(stream(seen, framed = false, continued))).isEqualTo(listOf(SoakRule.ORDER))
        }
        expectThat(rules(stream(seen, framed = false, "1900 KILLED node=a"))).isEmpty()
        expectThat(rules(stream(seen, framed = false, "1900 KILLED node=b"))).isEqualTo(listOf(SoakRule.ORDER))
        val queued = "$stopped\n1950 QUEUED request=q target=b framed=false"
        expectThat(rules(stream(seen, framed = true, "$queued\n1990 KILLED node=b"))).isEmpty()
        expectThat(rules(stream(seen, framed = true, queued))).isEqualTo(listOf(SoakRule.ORDER))
    }

    /** Guards against a client that does not see what is wrong with its events. */
    @Test
    fun `clients find missing, repeated and foreign events`() {
        val request = soakRequest("q", STREAM, Random(1))
        val events = (1..request.eventCount).map { "id: $it\ndata: q\n\n" }
        fun problem(body: List<String>, isWhole: Boolean = true) =
            orderProblemOrNull(200, body.joinToString(""), request, isWhole)
        expectThat(problem(events)).isEqualTo(null)
        expectThat(problem(events.take(3), isWhole = false)).isEqualTo(null)
        expectThat(problem(events.take(3) + "id: 4", isWhole = false)).isEqualTo(null)
        expectThat(problem(events.take(3))).isEqualTo("complete_after=3_of=${request.eventCount}")
        for (wrong in listOf(events[2], events[4], "id: 4\ndata: p")) {
            expectThat(problem(events.take(3) + wrong, isWhole = false)).isEqualTo("differs_after=3")
        }
        expectThat(orderProblemOrNull(503, "full", request, isWhole = true)).isEqualTo(null)
    }

    /** Guards against a response without length or chunks that is read as empty, or as complete after a reset. */
    @Test
    fun `a response without a length ends with its connection`() {
        val text = "HTTP/1.1 200 OK\r\n\r\nid: 1"
        val parts = mutableListOf<String>()
        val message = text.byteInputStream().readSoakMessageOrNull(onPart = parts::add)
        expectThat(message?.body).isEqualTo("id: 1")
        expectThat(message?.isLast).isEqualTo(true)
        expectThat(parts.joinToString("")).isEqualTo("id: 1")
        val reset = object : InputStream() {
            private val bytes = text.byteInputStream()

            override fun read(): Int = bytes.read().also { if (it < 0) throw IOException("reset") }
        }
        expectThat(runCatching { reset.readSoakMessageOrNull() }.exceptionOrNull()).isA<IOException>()
    }

    /** First tries during a cut of entry-1 from 1,000 ms to 9,000 ms. */
    private fun cut(
        served: Int,
        failed: Int,
        servedElsewhere: Int,
        failedElsewhere: Int = 0,
        atMs: Int = 4_500,
    ): String {
        fun tries(name: String, entry: String, count: Int, end: String) = (1..count).joinToString("") {
            "\n$atMs SEND request=$name$it kind=safe service=s entry=$entry connection=kept attempt=1 ready=false" +
                "\n${atMs + 100} $end request=$name$it"
        }
        val started = listOf("entry-1", "entry-2").joinToString("") {
            "900 SEND request=of-$it kind=safe service=s entry=$it\n901 ANSWER request=of-$it status=200 sound=true\n" +
                "3900 SEND request=on-$it kind=safe service=s entry=$it\n3901 ANSWER request=on-$it status=503\n"
        }
        return started + "1000 CUT node=entry-1 cut=1 action=HANG\n9000 JOINED node=entry-1 cut=1" +
            tries("a", "entry-1", served, "ANSWER status=200 sound=true") +
            tries("b", "entry-1", failed, "ANSWER status=503") +
            tries("c", "entry-2", servedElsewhere, "ANSWER status=200 sound=true") +
            tries("d", "entry-2", failedElsewhere, "FAIL by=peer status=0")
    }

    /** Guards against cut VMs that serve their callers far worse than the others, and against a wrong bound. */
    @Test
    fun `cut VMs that serve less than two thirds as often as the others break RECOVER`() {
        // 63 of 100 against 95 of 100 is just under two thirds; 10 + 200 / 50 = 14 failures are allowed.
        expectThat(rules(cut(63, 37, 95, 5))).isEqualTo(listOf(SoakRule.RECOVER))
        expectThat(rules(cut(64, 36, 95, 5))).isEmpty()
        expectThat(rules(cut(0, 15, 185))).isEqualTo(listOf(SoakRule.RECOVER))
        expectThat(rules(cut(0, 14, 186))).isEmpty()
        expectThat(rules(cut(0, 50, 0, 50))).isEmpty()
        expectThat(rules(cut(0, 50, 50).replace("ANSWER status=503", "FAIL by=connect status=0")))
            .isEqualTo(listOf(SoakRule.RECOVER))
        expectThat(rules(cut(0, 50, 50).replace("ANSWER status=503", "FAIL by=leave status=0"))).isEmpty()
    }

    /** Guards against findings before a cut has lasted for 3 s, after it, or for tries that do not count. */
    @Test
    fun `RECOVER counts first tries from 3 s after the cut until its end`() {
        expectThat(rules(cut(0, 50, 50, atMs = 3_999))).isEmpty()
        expectThat(rules(cut(0, 50, 50, atMs = 4_001))).isEqualTo(listOf(SoakRule.RECOVER))
        expectThat(rules(cut(0, 50, 50, atMs = 8_999))).isEqualTo(listOf(SoakRule.RECOVER))
        expectThat(rules(cut(0, 50, 50, atMs = 9_001))).isEmpty()
        expectThat(rules(cut(0, 50, 50).replace("attempt=1", "attempt=2"))).isEmpty()
        expectThat(rules(cut(0, 50, 50).replace("connection=kept", "connection=new"))).isEmpty()
        expectThat(rules(cut(0, 50, 50).replace("connection=kept attempt=1 ready=false", "attempt=1 ready=true")))
            .isEqualTo(listOf(SoakRule.RECOVER))
    }

    /** Guards against findings for VMs out of touch, and against an excuse by a disturbance of others. */
    @Test
    fun `RECOVER counts entry VMs in touch with a stable core`() {
        for (node in listOf("entry-1", "control-1")) {
            fun disturbed(endMs: Int) = "\n1000 DISTURBED node=$node action=SIGSTOP\n$endMs RECOVERED node=$node"
            expectThat(rules(cut(0, 50, 50) + disturbed(1_501))).isEmpty()
            expectThat(rules(cut(0, 50, 50) + disturbed(1_499))).isEqualTo(listOf(SoakRule.RECOVER))
        }
        val other = "\n1000 DISTURBED node=entry-3 action=SIGSTOP\n4000 RECOVERED node=entry-3"
        expectThat(rules(cut(0, 50, 50) + other)).isEqualTo(listOf(SoakRule.RECOVER))
        val notStarted = cut(0, 50, 50).replace("request=on-entry-1 status", "request=p status") +
            "\n950 DISTURBED node=entry-1 action=SIGKILL\n960 RECOVERED node=entry-1"
        expectThat(rules(notStarted)).isEmpty()
    }

    /** Guards against findings for what a cut has held up, and against that excuse for long after it. */
    @Test
    fun `a cut of the entry VM excuses what it held up`() {
        val runs = "$SENT\n$FIRST_RUN\n9000 BEGIN request=q target=b from=a/q\n9900 END request=q target=a"
        fun cut(node: String, toMs: Int) = "\n2000 CUT node=$node cut=1\n$toMs JOINED node=$node cut=1"
        expectThat(rules(runs + cut("entry-1", 6_001))).isEmpty()
        expectThat(rules(runs + cut("entry-1", 4_000))).isEqualTo(listOf(SoakRule.TWICE))
        expectThat(rules(runs + cut("entry-2", 8_000))).isEqualTo(listOf(SoakRule.TWICE))
    }

    /** Guards against a late configuration that is not found, and against findings that a disturbance excuses. */
    @Test
    fun `a route that is not there in time breaks CONFIG`() {
        fun probe(status: Int) = "10010 PROBE version=4 node=entry-1 sent=10000000000 status=$status"
        expectThat(rules(probe(503))).isEmpty()
        expectThat(rules(probe(0))).isEmpty()
        expectThat(rules(probe(404))).isEqualTo(listOf(SoakRule.CONFIG))
        for (node in listOf("entry-1", "control-1")) {
            fun disturbed(endMs: Int) = "1000 DISTURBED node=$node action=SIGSTOP\n$endMs RECOVERED node=$node"
            expectThat(rules("${disturbed(4_501)}\n${probe(404)}")).isEmpty()
            expectThat(rules("${disturbed(4_499)}\n${probe(404)}")).isEqualTo(listOf(SoakRule.CONFIG))
        }
    }

    /** Guards against a soak that takes more than half of the machine's memory. */
    @Test
    fun `a soak fills the memory that it may take and no more`() {
        expectThat(entriesThatFill(5_750)).isEqualTo(20)
        expectThat(entriesThatFill(16_384)).isEqualTo(60)
        expectThat(runCatching { entriesThatFill(16_385) }.isFailure).isEqualTo(true)
    }

    /** Guards against a line cut by a killed writer that makes the record unreadable. */
    @Test
    fun `events are read as they were written`() {
        val event = soakEvent(5, SoakKind.BEGIN, "request" to "q", "target" to "a b", "from" to "")
        expectThat(soakEventOrNull("$event")).isEqualTo(event)
        expectThat(soakEventOrNull("12 BEG")).isEqualTo(null)
    }
}
