/*
 * Requests that crash targets by a part of their prompts, through the relay on real sockets.
 */
package fulmarshunt.caller.relay

import fulmarshunt.PromptPartId
import fulmarshunt.target.fleet.CrashReportTable
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import java.io.BufferedInputStream
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

private const val WAIT_MS = 5_000L
private const val CRASH_PAUSE_MS = 250L
private const val CRASHING_PART = "crashing"

class CrashingPromptTest {
    /** The bodies of the requests that crashed their targets. */
    private val crashedBy = CopyOnWriteArrayList<String>()

    /** A target that crashes as it begins to respond to a request whose body names the crashing part. */
    private fun target(name: String) = ScriptedTarget(name) {
        startStream()
        if (CRASHING_PART in request.body) {
            crashedBy += request.body
            crash()
        } else {
            (1..EVENTS).forEach { event(it) }
            endStream()
        }
    }

    private fun eventually(condition: () -> Boolean) {
        val endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS)
        while (!condition()) {
            check(System.nanoTime() < endNanos) { "the condition did not hold within $WAIT_MS ms" }
            Thread.sleep(5)
        }
    }

    private fun RelayFixture.ask(body: String, parts: String) = call("/stream/x", body, "tokens: 10", "parts: $parts")

    /** Sends a new request with the crashing part, and returns once the crash of its target has been reported. */
    private fun RelayFixture.crashOne(number: Int, targets: List<ScriptedTarget>, table: CrashReportTable) {
        val reportsBefore = crashReports().size
        ask("$CRASHING_PART $number", "shared,$CRASHING_PART,own$number")
        eventually { crashReports().size > reportsBefore }
        expectThat(crashedBy).hasSize(number)
        targets.filter { target -> target.requests.any { it.body in crashedBy } }.forEach { leave(it) }
        exchangeCrashReports(table)
        // Crashes of unknown parts at one moment count once.
        Thread.sleep(CRASH_PAUSE_MS)
    }

    /** Guards against targets that crash one after the other, each by a new request with the same prompt part. */
    @Test
    fun `a part of prompts that crashed three targets is refused, and the parts beside it are not`() {
        val targets = List(5) { target("t$it") }
        try {
            RelayFixture(*targets.toTypedArray()).use { relay ->
                val table = CrashReportTable()
                expectThat(relay.ask("sound", "shared,other,own")?.startLine).isNotNull().contains(" 200 ")
                (1..3).forEach { relay.crashOne(it, targets, table) }
                val fourth = relay.ask("$CRASHING_PART 4", "shared,$CRASHING_PART,own4")
                expectThat(fourth?.startLine).isNotNull().contains(" 503 ")
                expectThat(crashedBy).hasSize(3)
                val sound = relay.ask("also sound", "shared,other,own5")
                expectThat(sound?.startLine).isNotNull().contains(" 200 ")
                expectThat(sound?.body?.lines()?.count { it.startsWith("data:") }).isEqualTo(EVENTS)
            }
        } finally {
            targets.forEach { it.close() }
        }
    }

    /** Guards against a request that crashes a target because it was admitted before its part was refused. */
    @Test
    fun `a request that waits for a target is refused once its part is`() {
        val mayEnd = CountDownLatch(1)
        val target = ScriptedTarget("a") {
            startStream()
            event(1)
            mayEnd.await()
            endStream()
        }
        target.use {
            RelayFixture(target).use { relay ->
                relay.connect().use { first ->
                    val body = "x"
                    first.getOutputStream().write(requestText("/stream/x", body, "tokens: 9500").encodeToByteArray())
                    eventually { target.requests.size == 1 }
                    relay.connect().use { second ->
                        val parts = "shared,$CRASHING_PART,own"
                        val text = requestText("/stream/x", body, "tokens: 9500", "parts: $parts")
                        second.getOutputStream().write(text.encodeToByteArray())
                        eventually { relay.active == 2 }
                        relay.refuse(crashCausesOf(null, parts.split(',').map(::PromptPartId)).parts)
                        mayEnd.countDown()
                        val response = BufferedInputStream(second.getInputStream()).readMessageOrNull()
                        expectThat(response?.startLine).isNotNull().contains(" 503 ")
                        expectThat(response?.body).isEqualTo("the request has crashed several targets")
                        expectThat(target.requests).hasSize(1)
                    }
                }
                eventually { relay.use().isEmpty() }
            }
        }
    }

    /** Guards against a crash that is not reported because a connection from before it was still kept. */
    @Test
    fun `a crash is found although another connection to the target is kept`() {
        val bothRun = CountDownLatch(2)
        val target = ScriptedTarget("a") {
            if (CRASHING_PART in request.body) {
                stopListening()
                reset()
            } else {
                startStream()
                bothRun.countDown()
                bothRun.await()
                (1..EVENTS).forEach { event(it) }
                endStream()
            }
        }
        target.use {
            RelayFixture(target).use { relay ->
                val others = List(2) { thread { relay.ask("sound", "shared,own") } }
                others.forEach { it.join() }
                relay.ask(CRASHING_PART, "shared,$CRASHING_PART,own")
                eventually { relay.crashReports().isNotEmpty() }
            }
        }
    }

    /** Guards against a crash that is not reported because the target accepts a connection a moment longer. */
    @Test
    fun `a crash is found although the target accepts one more connection`() {
        val target = ScriptedTarget("a") {
            startStream()
            crashAfterNextConnection()
        }
        target.use {
            RelayFixture(target).use { relay ->
                relay.ask(CRASHING_PART, "shared,$CRASHING_PART,own")
                eventually { relay.crashReports().isNotEmpty() }
                // The crash counts from the loss of the request, not from the second probe.
                expectThat(relay.crashReports().values.min()).isGreaterThan(200)
            }
        }
    }

    private companion object {
        const val EVENTS = 3
    }
}
