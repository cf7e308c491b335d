/*
 * The number of entry VMs by which the budget of repeats is divided, while control VMs restart.
 */
package fulmarshunt.entry

import arrow.core.left
import fulmarshunt.Address
import fulmarshunt.ServiceId
import fulmarshunt.VmId
import fulmarshunt.entry.watch.FleetWatcher
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.linksOf
import fulmarshunt.monotonicClock
import fulmarshunt.process.startControlThread
import fulmarshunt.target.fleet.Fleet
import fulmarshunt.target.fleet.RepeatBudget
import fulmarshunt.target.fleet.RepeatLimits
import fulmarshunt.target.fleet.here
import fulmarshunt.target.fleet.record
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import java.net.ServerSocket
import kotlin.random.Random

private const val ENTRY_VMS = 8
private const val CONTROL_VMS = 3
private const val ALLOWANCE = 40

/** Longer than a test, so that each test counts repeats in one window. */
private const val WINDOW_MS = 60_000L
private const val POLL_MS = 50L
private const val TIMEOUT_MS = 30_000L

/** How long entry VMs take as many repeats as they may; shorter than the window of the budget. */
private const val PRESSURE_MS = 3_000L

class RepeatBudgetRestartTest {
    private val addresses = List(CONTROL_VMS) { ServerSocket(0).use { Address("127.0.0.1", it.localPort) } }
    private val clock = monotonicClock()
    private val before = ServiceId("before")
    private val after = ServiceId("after")

    /** An entry VM that watches the control VMs and has no requests, so that it has only its part of the allowance. */
    private inner class PressingEntryVm(number: Int) : AutoCloseable {
        private val control = startControlThread()
        private val links = linksOf("entry$number", "secret-of-the-test", LinkHandlers())
        private val random = Random(number)
        private val limits = RepeatLimits(0.2, ALLOWANCE.toDouble(), WINDOW_MS)
        private val budget = RepeatBudget(limits, clock.nowMs() - 2 * WINDOW_MS) { random.nextDouble() }
        private val fleet = Fleet(clock, here, budget, random::nextDouble) { 0.0 }
        private val vm = VmId("entry$number")
        private val watcher =
            FleetWatcher(vm, { addresses }, { "not needed".left() }, fleet, links, control, clock)

        init {
            runBlocking { control.run { watcher.start() } }
        }

        val entryVms: Int get() = watcher.views.value.entryVms
        val watched: Int get() = watcher.watchedControlVms

        /** Takes all repeats that it may, and returns their number. */
        suspend fun takeAll(service: ServiceId): Int = control.run {
            generateSequence { fleet.repeats.tryTake(service) }.takeWhile { it.isTaken }.count()
        }

        override fun close() {
            runBlocking { links.close() }
            control.close()
        }
    }

    /** Starts the control VMs, which reply at once to entry VMs that do not know their target. */
    private suspend fun startControlVms() =
        addresses.mapIndexed { number, own -> ControlVm("control$number", own, addresses) { true } }
            .onEach { it.service.announce(record("t")) }

    private suspend fun List<PressingEntryVm>.press(service: ServiceId): Int {
        val endsAtMs = clock.nowMs() + PRESSURE_MS
        var taken = 0
        while (clock.nowMs() < endsAtMs) {
            // Before the first reply, an entry VM knows no target.
            filter { it.watched > 0 }.forEach { taken += it.takeAll(service) }
            delay(POLL_MS)
        }
        return taken
    }

    /** Guards against entry VMs that each use the whole allowance while new control VMs count few others. */
    @Test
    fun `all entry VMs together keep the allowance when all processes start at once`(): Unit = runBlocking {
        val controls = startControlVms()
        val entries = List(ENTRY_VMS, ::PressingEntryVm)
        try {
            expectThat(entries.press(before)).isLessThanOrEqualTo(ALLOWANCE)
        } finally {
            (entries + controls).forEach { it.close() }
        }
    }

    /** Guards against entry VMs that take the first count of restarted control VMs for that of all entry VMs. */
    @Test
    fun `all entry VMs together keep and use the allowance when all control VMs restart`(): Unit = runBlocking {
        var controls = startControlVms()
        val entries = List(ENTRY_VMS, ::PressingEntryVm)
        try {
            withTimeout(TIMEOUT_MS) { while (entries.any { it.entryVms != ENTRY_VMS }) delay(POLL_MS) }
            controls.forEach { it.close() }
            withTimeout(TIMEOUT_MS) { while (entries.any { it.watched > 0 }) delay(POLL_MS) }
            controls = startControlVms()
            expectThat(entries.press(after)).isLessThanOrEqualTo(ALLOWANCE).isGreaterThan(ALLOWANCE / 3)
        } finally {
            (entries + controls).forEach { it.close() }
        }
    }
}
