/*
 * Crash reports, suspicions, clearings and refusals between entry VMs and control VMs, over links.
 */
package fulmarshunt.entry

import arrow.core.left
import fulmarshunt.Address
import fulmarshunt.Fingerprint
import fulmarshunt.TargetId
import fulmarshunt.VmId
import fulmarshunt.clockOf
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
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

private const val TIMEOUT_MS = 10_000L
private const val POLL_MS = 20L

/** Longer than crashes of an unknown part that count once. */
private const val CRASH_PAUSE_MS = 300L

/** Several watches and exchanges. */
private const val SETTLED_MS = 3_000L

/** Longer than reports are repeated, and than refusals of a lost control VM are kept. */
private const val LATER_MS = 60_000L

class CrashRefusalTest {
    private class EntryVm(name: String, controls: List<Address>) : AutoCloseable {
        private val control = startControlThread()
        private val realClock = monotonicClock()
        private val skippedMs = AtomicLong()
        private val clock = clockOf { realClock.nowMs() + skippedMs.get() }
        private val links = linksOf(name, "secret-of-the-test", LinkHandlers())
        private val budget = RepeatBudget(RepeatLimits(100.0, 100.0, 10_000), clock.nowMs()) { 0.0 }
        private val fleet = Fleet(clock, here, budget, { 0.0 }) { 0.0 }
        private val watcher =
            FleetWatcher(VmId(name), { controls }, { "no documents".left() }, fleet, links, control, clock)

        val refused: Set<Fingerprint> get() = watcher.views.value.refused

        init {
            runBlocking { control.run { watcher.start() } }
        }

        /** Records a crash; the causes are whole requests, or with a [depth] above 0 parts of prompts. */
        fun recordCrash(number: Int, causes: Set<Fingerprint>, depth: Int = 0) = runBlocking {
            control.run {
                causes.forEach { fleet.crashes.record(CrashReport(it, TargetId("t$number"), number.toLong(), depth)) }
            }
        }

        fun recordSound(cause: Fingerprint) = runBlocking { control.run { fleet.crashes.recordSound(setOf(cause)) } }

        /** Advances the clock of this VM. */
        fun skip(durationMs: Long) {
            skippedMs.addAndGet(durationMs)
        }

        override fun close() {
            runBlocking { links.close() }
            control.close()
        }
    }

    private val addresses = freeAddresses()
    private val crashing = Fingerprint("crashing")
    private val shared = Fingerprint("shared")

    private fun freeAddresses() = List(2) { ServerSocket(0).use { Address("127.0.0.1", it.localPort) } }

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
                        (1..3).forEach { reporting.recordCrash(it, setOf(crashing, shared)) }
                        eventually { reporting.refused == setOf(crashing) && clearing.refused == setOf(crashing) }
                        delay(SETTLED_MS)
                        expectThat(reporting.refused).isEqualTo(setOf(crashing))
                        expectThat(clearing.refused).isEqualTo(setOf(crashing))
                    }
                }
            }
        }
    }

    /** Guards against a refusal that is lifted because a control VM that is cut off does not know of it. */
    @Test
    fun `a control VM that does not know of a refusal does not lift it`(): Unit = runBlocking {
        ControlVm("a", addresses[0], addresses.take(1)) { true }.use {
            ControlVm("b", addresses[1], addresses.drop(1)) { true }.use {
                EntryVm("reporting", addresses.take(1)).use { reporting ->
                    EntryVm("watching", addresses).use { watching ->
                        (1..3).forEach { reporting.recordCrash(it, setOf(crashing)) }
                        eventually { watching.refused == setOf(crashing) }
                        val endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SETTLED_MS)
                        while (System.nanoTime() < endNanos) {
                            expectThat(watching.refused).isEqualTo(setOf(crashing))
                            delay(1)
                        }
                    }
                }
            }
        }
    }

    /** Guards against targets that crash again because all control VMs have restarted and forgotten the crashes. */
    @Test
    fun `a refusal outlasts the restart of all control VMs`(): Unit = checkRestart(depth = 0)

    /** Guards against the same for parts of prompts, whose crashes count only at different moments. */
    @Test
    fun `a refusal of a part outlasts the restart of all control VMs`(): Unit = checkRestart(depth = 1)

    private fun checkRestart(depth: Int): Unit = runBlocking {
        // The address of a closed control VM is not free at once.
        val nextAddresses = freeAddresses()
        EntryVm("entry", addresses + nextAddresses).use { entryVm ->
            ControlVm("a", addresses[0], addresses) { true }.use {
                ControlVm("b", addresses[1], addresses) { true }.use {
                    (1..3).forEach {
                        entryVm.recordCrash(it, setOf(crashing), depth)
                        delay(CRASH_PAUSE_MS)
                    }
                    eventually { entryVm.refused == setOf(crashing) }
                }
            }
            entryVm.skip(LATER_MS)
            ControlVm("a2", nextAddresses[0], nextAddresses) { true }.use {
                ControlVm("b2", nextAddresses[1], nextAddresses) { true }.use {
                    delay(SETTLED_MS)
                    expectThat(entryVm.refused).isEqualTo(setOf(crashing))
                    entryVm.skip(LATER_MS)
                    delay(SETTLED_MS)
                    expectThat(entryVm.refused).isEqualTo(setOf(crashing))
                }
            }
        }
    }
}
