/*
 * Crash reports, suspicions, clearings and refusals between entry VMs and control VMs, over links.
 */
package fulmarshunt.entry

import arrow.core.left
import fulmarshunt.Address
import fulmarshunt.Fingerprint
import fulmarshunt.TargetId
import fulmarshunt.VmId
import fulmarshunt.entry.watch.FleetWatcher
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.linksOf
import fulmarshunt.monotonicClock
import fulmarshunt.process.startControlThread
import fulmarshunt.target.fleet.CrashReport
import fulmarshunt.target.fleet.Fleet
import fulmarshunt.target.fleet.RepeatBudget
import fulmarshunt.target.fleet.RepeatLimits
import fulmarshunt.target.fleet.here
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.ServerSocket

private const val TIMEOUT_MS = 10_000L
private const val POLL_MS = 20L

/** Several watches and exchanges. */
private const val SETTLED_MS = 3_000L

class CrashRefusalTest {
    private class EntryVm(name: String, controls: List<Address>) : AutoCloseable {
        private val control = startControlThread()
        private val clock = monotonicClock()
        private val links = linksOf(name, "secret-of-the-test", LinkHandlers())
        private val fleet = Fleet(clock, here, RepeatBudget(RepeatLimits(1.0, 100.0, 10_000)), { 0.0 }) { 0.0 }
        private val watcher =
            FleetWatcher(VmId(name), { controls }, { "no documents".left() }, fleet, links, control, clock)

        val refused: Set<Fingerprint> get() = watcher.views.value.refused

        init {
            runBlocking { control.run { watcher.start() } }
        }

        fun recordCrash(number: Int, causes: Set<Fingerprint>) = runBlocking {
            control.run {
                causes.forEach { fleet.recordCrash(CrashReport(it, TargetId("t$number"), number.toLong())) }
            }
        }

        fun recordSound(cause: Fingerprint) = runBlocking { control.run { fleet.recordSound(setOf(cause)) } }

        override fun close() {
            runBlocking { links.close() }
            control.close()
        }
    }

    private val addresses = List(2) { ServerSocket(0).use { Address("127.0.0.1", it.localPort) } }
    private val deadly = Fingerprint("deadly")
    private val shared = Fingerprint("shared")

    private suspend fun eventually(condition: () -> Boolean) =
        withTimeout(TIMEOUT_MS) { while (!condition()) delay(POLL_MS) }

    /** Guards against a refusal that reaches only some entry VMs, and against one of what another VM knows is sound. */
    @Test
    fun `what one entry VM reports and another clears is known to all`(): Unit = runBlocking {
        ControlVm("a", addresses[0], addresses) { true }.use {
            ControlVm("b", addresses[1], addresses) { true }.use {
                EntryVm("reporting", addresses.take(1)).use { reporting ->
                    EntryVm("clearing", addresses.drop(1)).use { clearing ->
                        clearing.recordSound(shared)
                        (1..3).forEach { reporting.recordCrash(it, setOf(deadly, shared)) }
                        eventually { reporting.refused == setOf(deadly) && clearing.refused == setOf(deadly) }
                        delay(SETTLED_MS)
                        expectThat(reporting.refused).isEqualTo(setOf(deadly))
                        expectThat(clearing.refused).isEqualTo(setOf(deadly))
                    }
                }
            }
        }
    }
}
