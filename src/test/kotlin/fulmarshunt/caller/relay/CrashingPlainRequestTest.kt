/*
 * Plain requests that crash the targets that run them, through the relay on real sockets.
 */
package fulmarshunt.caller.relay

import fulmarshunt.target.fleet.CrashReportTable
import fulmarshunt.target.fleet.plain
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val WAIT_MS = 5_000L

/** The time after the second probe until a report would have been made. */
private const val PROBE_MS = 500L
private const val CRASHING_BODY = "crashing"
private const val POPULAR_BODY = "popular"

class CrashingPlainRequestTest {
    private val crashes = AtomicInteger()

    private fun target(name: String) = ScriptedTarget(name) {
        if (request.body == CRASHING_BODY) {
            crashes.incrementAndGet()
            crash()
        } else {
            respond("200 OK", "done")
        }
    }

    private fun eventually(condition: () -> Boolean) {
        val endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS)
        while (!condition()) {
            check(System.nanoTime() < endNanos) { "the condition did not hold within $WAIT_MS ms" }
            Thread.sleep(5)
        }
    }

    /** Guards against plain targets that crash one after the other, each by the same request. */
    @Test
    fun `a plain request that has crashed three targets is refused`() {
        for (path in listOf("/once/x", "/safe/x")) {
            crashes.set(0)
            val targets = List(5) { target("t$it") }
            try {
                RelayFixture(*targets.toTypedArray()).use { relay ->
                    val table = CrashReportTable()
                    while (crashes.get() < 3) {
                        val before = relay.crashReports().size
                        relay.call(path, CRASHING_BODY)
                        eventually { relay.crashReports().size > before && relay.crashReports().size >= crashes.get() }
                        relay.exchangeCrashReports(table)
                    }
                    val crashesBefore = crashes.get()
                    val refused = relay.call(path, CRASHING_BODY)
                    expectThat(refused?.startLine).isNotNull().contains(" 503 ")
                    expectThat(refused?.body).isEqualTo("the request has crashed several targets")
                    expectThat(crashes.get()).isEqualTo(crashesBefore)
                    expectThat(relay.call(path, "sound")?.startLine).isNotNull().contains(" 200 ")
                }
            } finally {
                targets.forEach { it.close() }
            }
        }
    }

    /** Guards against a crash that is not found because the listening socket of the target outlives it. */
    @Test
    fun `a crash is found although the target goes on to accept connections`() {
        val isDown = AtomicBoolean()
        val target = ScriptedTarget("a") {
            if (isDown.get()) Thread.sleep(WAIT_MS)
            if (request.body == CRASHING_BODY) {
                isDown.set(true)
                reset()
            } else {
                respond("200 OK", "done")
            }
        }
        target.use {
            RelayFixture(target).use { relay ->
                relay.call("/once/x", CRASHING_BODY)
                eventually { relay.crashReports().keys.any { !it.isConfirmed } }
                expectThat(relay.crashReports().keys.any { it.isConfirmed }).isEqualTo(false)
                relay.restart(target)
                eventually { relay.crashReports().keys.any { it.isConfirmed } }
            }
        }
    }

    /** Guards against crash reports for requests that a target has lost although it goes on to work. */
    @Test
    fun `a target that responds to health requests has not crashed`() {
        val target = ScriptedTarget("a") {
            if (request.body == CRASHING_BODY) reset() else respond("200 OK", "done")
        }
        target.use {
            RelayFixture(target).use { relay ->
                relay.call("/once/x", CRASHING_BODY)
                eventually { target.requests.any { it.startLine.startsWith("GET ${plain.healthPath} ") } }
                Thread.sleep(PROBE_MS)
                expectThat(relay.crashReports()).isEmpty()
            }
        }
    }

    /** Guards against the refusal of a request that many callers send, because its targets were lost together. */
    @Test
    fun `a plain request that has been served is not refused when three targets are lost at once`() {
        val areAllLost = CountDownLatch(1)
        val waiting = AtomicInteger()
        val mayWait = AtomicInteger()
        val targets = List(4) { number ->
            ScriptedTarget("t$number") {
                if (mayWait.get() == 1 && waiting.incrementAndGet() <= 3) {
                    areAllLost.await()
                    crash()
                } else {
                    respond("200 OK", "done")
                }
            }
        }
        try {
            RelayFixture(*targets.toTypedArray()).use { relay ->
                expectThat(relay.call("/once/x", POPULAR_BODY)?.startLine).isNotNull().contains(" 200 ")
                mayWait.set(1)
                val callers = (1..3).map {
                    thread { relay.call("/once/x", POPULAR_BODY) }.also { _ -> eventually { waiting.get() >= it } }
                }
                areAllLost.countDown()
                callers.forEach { it.join() }
                eventually { relay.crashReports().size == 3 }
                val table = CrashReportTable()
                relay.exchangeCrashReports(table)
                relay.exchangeCrashReports(table)
                expectThat(relay.call("/once/x", POPULAR_BODY)?.startLine).isNotNull().contains(" 200 ")
            }
        } finally {
            targets.forEach { it.close() }
        }
    }
}
