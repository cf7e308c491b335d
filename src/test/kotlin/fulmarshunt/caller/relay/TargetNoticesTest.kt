/*
 * What targets say of themselves in the heads of their responses, on real sockets: that they are leaving, and that they
 * want no requests for a while.
 */
package fulmarshunt.caller.relay

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import java.io.BufferedInputStream
import java.util.concurrent.TimeUnit

private const val WAIT_MS = 5_000L
private const val PAUSE_MS = 30_000L
private const val EVENT_PERIOD_MS = 50L
private const val MS_PER_S = 1_000.0

/** Longer than the time between two turns at a target that takes one request a second. */
private const val TURN_MS = 1_400L

class TargetNoticesTest {
    private fun eventually(condition: () -> Boolean) {
        val endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS)
        while (!condition()) {
            check(System.nanoTime() < endNanos) { "the condition did not hold within $WAIT_MS ms" }
            Thread.sleep(5)
        }
    }

    private fun sound(name: String) = ScriptedTarget(name) { respond("200 OK", name) }

    /** Guards against requests to a target that has said in a response, and in no announcement, that it is leaving. */
    @Test
    fun `a target that says that it is leaving gets no more requests`() {
        ScriptedTarget("a") { respond("200 OK", "a", "leaving: 1") }.use { leaving ->
            sound("b").use { other ->
                RelayFixture(leaving, other).use { relay ->
                    val first = relay.call("/once/x")?.body
                    relay.awaitIdle()
                    repeat(6) { expectThat(relay.call("/once/x")?.body).isEqualTo("b") }
                    expectThat(leaving.requests).hasSize(if (first == "a") 1 else 0)
                }
            }
        }
    }

    /** Guards against requests to a target that has just said that others wait, and against figures that end one. */
    @Test
    fun `a target that says that requests wait there gets none while another has room`() {
        ScriptedTarget("a") { respond("200 OK", "a", "load: 8,20,8") }.use { crowded ->
            ScriptedTarget("b") { respond("200 OK", "b", "load: 8,x") }.use { other ->
                RelayFixture(crowded, other).use { relay ->
                    val first = relay.call("/once/x")?.body
                    relay.awaitIdle()
                    repeat(6) { expectThat(relay.call("/once/x")?.body).isEqualTo("b") }
                    expectThat(crowded.requests).hasSize(if (first == "a") 1 else 0)
                }
            }
        }
    }

    /** Guards against requests that are sent to the only target although it is leaving, and against callers held up. */
    @Test
    fun `without another target, callers are refused at once`() {
        ScriptedTarget("a") { respond("503 Service Unavailable", "", "not-run: 1", "leaving: 1") }.use { leaving ->
            RelayFixture(leaving).use { relay ->
                relay.call("/once/x")
                relay.awaitIdle()
                repeat(6) {
                    val startedNanos = System.nanoTime()
                    expectThat(relay.call("/once/x")?.startLine).isNotNull().contains(" 503 ")
                    val tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos)
                    expectThat(tookMs).isLessThan(500)
                }
                expectThat(leaving.requests).hasSize(1)
            }
        }
    }

    /** Guards against a target that is taken out of service by the late response of another one. */
    @Test
    fun `a response to another request takes no target out`() {
        val target = ScriptedTarget("a") {
            write("HTTP/1.1 200 OK\r\nid: other\r\nstamp: 1\r\nleaving: 1\r\ncontent-length: 5\r\n\r\nwrong")
            respond("200 OK", "right")
        }
        target.use {
            RelayFixture(target).use { relay ->
                repeat(3) { expectThat(relay.call("/once/x")?.body).isEqualTo("right") }
            }
        }
    }

    /** Guards against a target that is taken out of service by what answers at its former address, or by odd bytes. */
    @Test
    fun `a response of another target at its address takes no target out`() {
        val misdirected = ScriptedTarget("a") { respond("421 Misdirected Request", "", "leaving: 1", "pause-ms: 9000") }
        misdirected.use {
            RelayFixture(misdirected).use { relay ->
                repeat(3) { expectThat(relay.call("/once/x")?.startLine).isNotNull().contains(" 503 ") }
                expectThat(misdirected.requests).hasSize(3)
            }
        }
        val unproved =
            ScriptedTarget("a") { write("HTTP/1.1 200 OK\r\nid: r1\r\nleaving: 1\r\ncontent-length: 2\r\n\r\nok") }
        unproved.use {
            RelayFixture(unproved).use { relay ->
                repeat(3) { expectThat(relay.call("/once/x")?.startLine).isNotNull().contains(" 502 ") }
                expectThat(unproved.requests).hasSize(3)
            }
        }
    }

    /** Guards against a target in need that gets all requests again because it refuses one, or fails it. */
    @Test
    fun `only a success without a limit lifts the limit of a target`() {
        val target = ScriptedTarget("a") {
            when (number) {
                1 -> respond("200 OK", "a", "limit: 1.0")
                2 -> respond("503 Service Unavailable", "", "not-run: 1")
                3 -> respond("500 Internal Server Error", "")
                else -> respond("200 OK", "a")
            }
        }
        target.use {
            RelayFixture(target).use { relay ->
                relay.call("/once/x")
                eventually { relay.limited().isNotEmpty() }
                repeat(2) {
                    Thread.sleep(TURN_MS)
                    relay.call("/once/x")
                    relay.awaitIdle()
                    expectThat(relay.limited()).hasSize(1)
                }
                Thread.sleep(TURN_MS)
                relay.call("/once/x")
                eventually { relay.limited().isEmpty() }
            }
        }
    }

    /** Guards against a brittle target that is treated as sound because of a refusal, or as brittle for ever. */
    @Test
    fun `a target is brittle until a success does not say so, and keeps its limit of requests meanwhile`() {
        val target = ScriptedTarget("a") {
            when (number) {
                1 -> respond("200 OK", "a", "limit: 5.0", "brittle: 3")
                2 -> respond("503 Service Unavailable", "", "not-run: 1", "brittle: 2")
                else -> respond("200 OK", "a", "limit: 5.0")
            }
        }
        target.use {
            RelayFixture(target).use { relay ->
                for (refusalsPerS in listOf(3.0, 2.0, null)) {
                    relay.awaitIdle()
                    eventually {
                        relay.call("/once/x")
                        relay.limitStatements().singleOrNull()?.refusalsPerS == refusalsPerS
                    }
                    expectThat(relay.limitStatements().single().requestsPerS).isEqualTo(5.0)
                }
            }
        }
    }

    /** Guards against a restarted target that gets no work because its former instance was leaving. */
    @Test
    fun `a target that has been started again gets requests`() {
        ScriptedTarget("a") { respond("200 OK", "a", *leavingAtFirst(number)) }.use { target ->
            RelayFixture(target).use { relay ->
                expectThat(relay.call("/once/x")?.body).isEqualTo("a")
                relay.awaitIdle()
                expectThat(relay.call("/once/x")?.startLine).isNotNull().contains(" 503 ")
                relay.restart(target)
                repeat(3) { expectThat(relay.call("/once/x")?.body).isEqualTo("a") }
            }
        }
    }

    private fun leavingAtFirst(number: Int) = if (number == 1) arrayOf("leaving: 1") else emptyArray()

    /** Guards against runs that end with their target because no announcement said that it was leaving. */
    @Test
    fun `the runs of a target that says that it is leaving are moved`() {
        ScriptedTarget("a") {
            if (request.startLine.contains("/stream/refused")) {
                respond("503 Service Unavailable", "", "not-run: 1", "leaving: 1")
            } else {
                startStream()
                // A run whose events pause for long would continue elsewhere in any case.
                for (number in 1..(WAIT_MS / EVENT_PERIOD_MS).toInt()) {
                    event(number)
                    Thread.sleep(EVENT_PERIOD_MS)
                }
            }
        }.use { leaving ->
            ScriptedTarget("b") { respond("200 OK", "b") }.use { other ->
                RelayFixture(leaving, other).use { relay ->
                    relay.connect().use { socket ->
                        socket.getOutputStream().write(requestText("/stream/x", "", "tokens: 10").encodeToByteArray())
                        BufferedInputStream(socket.getInputStream()).read()
                        relay.call("/stream/refused", "", "tokens: 10")
                        eventually { other.requests.any { it.header("resume") != null } }
                    }
                    val resumed = other.requests.single { it.header("resume") != null }
                    expectThat(resumed.startLine).contains("/stream/x")
                }
            }
        }
    }

    private fun pausing(name: String) =
        ScriptedTarget(name) { respond("503 Service Unavailable", "", "not-run: 1", "pause-ms: $PAUSE_MS") }

    /** Guards against requests to a target that has asked for a pause, and callers told to return during it. */
    @Test
    fun `a target that asks for a pause gets no requests, and callers are told when to return`() {
        pausing("a").use { target ->
            RelayFixture(target).use { relay ->
                repeat(8) {
                    val response = checkNotNull(relay.call("/once/x"))
                    expectThat(response.startLine).contains(" 503 ")
                    val retryAfterMs = checkNotNull(response.header("retry-after")).toDouble() * MS_PER_S
                    expectThat(retryAfterMs).isGreaterThanOrEqualTo(PAUSE_MS - WAIT_MS.toDouble())
                    relay.awaitIdle()
                }
                expectThat(target.requests).hasSize(1)
            }
        }
    }

    /** Guards against callers that wait for a target that pauses while another one could serve them. */
    @Test
    fun `requests go to another target during a pause`() {
        pausing("a").use { target ->
            sound("b").use { other ->
                RelayFixture(target, other).use { relay ->
                    repeat(8) {
                        expectThat(relay.call("/once/x")?.body).isEqualTo("b")
                        relay.awaitIdle()
                    }
                    expectThat(target.requests.size).isLessThan(2)
                }
            }
        }
    }
}
