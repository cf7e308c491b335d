/*
 * The checks of the fault soak on records written by hand.
 */
package fulmarshunt.soak

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

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

    /** Guards against requests to a target that has asked for a pause which are not found, and against wrong bounds. */
    @Test
    fun `more than two requests in a pause break BUDGET`() {
        val sends = (1..4).joinToString("\n") { "1000 SEND request=q$it kind=safe service=s entry=entry-1" }
        val refusal = "1100 REFUSE request=q1 target=a pause_ms=2000"
        val two = "$sends\n$refusal\n1601 ARRIVE request=q2 target=a\n3099 ARRIVE request=q3 target=a"
        expectThat(rules("$two\n1599 ARRIVE request=q4 target=a")).isEmpty()
        expectThat(rules("$two\n3101 ARRIVE request=q4 target=a")).isEmpty()
        expectThat(rules("$two\n2000 ARRIVE request=q4 target=b")).isEmpty()
        val three = "$two\n2000 ARRIVE request=q4 target=a"
        expectThat(rules(three)).isEqualTo(listOf(SoakRule.BUDGET))
        expectThat(rules(three.replace("entry=entry-1", "entry=entry-2").replaceFirst("entry-2", "entry-1"))).isEmpty()
        expectThat(rules("$three\n1500 KILLED node=entry-1\n1900 RECOVERED node=entry-1")).isEmpty()
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

    /** Guards against a line cut by a killed writer that makes the record unreadable. */
    @Test
    fun `events are read as they were written`() {
        val event = soakEvent(5, SoakKind.BEGIN, "request" to "q", "target" to "a b", "from" to "")
        expectThat(soakEventOrNull("$event")).isEqualTo(event)
        expectThat(soakEventOrNull("12 BEG")).isEqualTo(null)
    }
}
