/*
 * The decisions about requests that crash targets, in a simulated fleet: which parts of prompts are refused, and how
 * many requests with the part that crashes targets are run before.
 */
package fulmarshunt.caller.relay

import fulmarshunt.Fingerprint
import fulmarshunt.PromptPartId
import fulmarshunt.TargetId
import fulmarshunt.target.fleet.CrashReport
import fulmarshunt.target.fleet.CrashReportTable
import fulmarshunt.target.fleet.Refusals
import fulmarshunt.target.fleet.SoundCauses
import fulmarshunt.target.fleet.receive
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

private const val TICK_MS = 20L
private const val TARGETS = 12
private const val ENTRY_VMS = 4
private const val RESTART_MS = 3_300L

/** How long after its start a run crashes its target, has two events, and ends. */
private const val CRASH_AFTER_MS = 60L
private const val SOUND_AFTER_MS = 160L
private const val RUN_MS = 1_000L

/** The delay of exchanges between entry VMs and the control VM. */
private const val EXCHANGE_MS = 200L

private const val CRASHING = "crashing"

class CrashingPromptSimulationTest {
    private class Request(val vm: Int, val parts: List<String>, val target: Int, val startedAtMs: Long) {
        val isCrashing = CRASHING in parts
        val causes = crashCausesOf(Fingerprint("$parts"), parts.map(::PromptPartId))
        var isSound = false
    }

    private class EntryVm {
        var nowMs = 0L
        val sound = SoundCauses()
        val refusals = Refusals { sound.agesMs(it, nowMs).keys }
        val reports = mutableListOf<CrashReport>()
        var suspected = emptySet<Fingerprint>()
        var refused = emptySet<Fingerprint>()
    }

    private class Simulation(seed: Int) {
        private val random = Random(seed)
        private val table = CrashReportTable()
        private val entryVms = List(ENTRY_VMS) { EntryVm() }
        private val running = mutableListOf<Request>()
        private val upAtMs = LongArray(TARGETS)
        private var nowMs = 0L
        private var number = 0
        var crashingRuns = 0
        var soundRuns = 0
        val refusedSound = mutableListOf<List<String>>()

        /** Runs for [durationMs] with one request in each tick, of which the share [crashingShare] is crashing. */
        fun run(durationMs: Long, crashingShare: Double) {
            val endMs = nowMs + durationMs
            while (nowMs < endMs) {
                nowMs += TICK_MS
                arrive(random.nextDouble() < crashingShare)
                for (run in running.filter { it.isCrashing && nowMs - it.startedAtMs >= CRASH_AFTER_MS }) {
                    if (run in running) crash(run.target)
                }
                finishRuns()
                if (nowMs % EXCHANGE_MS == 0L) exchange()
            }
        }

        fun crash(target: Int) {
            upAtMs[target] = nowMs + RESTART_MS
            val lostRuns = running.filter { it.target == target }
            running -= lostRuns.toSet()
            for (lostRun in lostRuns) {
                val causes = lostRun.causes.afterEvents(if (lostRun.isSound) SOUND_EVENTS else 0)
                entryVms[lostRun.vm].reports += causes.map { CrashReport(it, TargetId("t$target"), nowMs) }
            }
        }

        private fun arrive(isCrashing: Boolean) {
            number += 1
            val middle = if (isCrashing) CRASHING else "middle${random.nextInt(10)}"
            val parts = listOf("shared", middle, "own$number")
            val target = (0 until TARGETS).filter { upAtMs[it] <= nowMs }.randomOrNull(random) ?: return
            val request = Request(random.nextInt(ENTRY_VMS), parts, target, nowMs)
            if (request.causes.refusedOrNull(entryVms[request.vm].refused) == null) {
                running += request
                if (isCrashing) crashingRuns += 1 else soundRuns += 1
            } else if (!isCrashing) {
                refusedSound += parts
            }
        }

        private fun finishRuns() {
            for (run in running) {
                if (!run.isSound && nowMs - run.startedAtMs >= SOUND_AFTER_MS) {
                    run.isSound = true
                    entryVms[run.vm].sound.record(run.causes.parts, nowMs)
                }
            }
            running.removeIf { nowMs - it.startedAtMs >= RUN_MS }
        }

        private fun exchange() {
            for (vm in entryVms) {
                vm.nowMs = nowMs
                table.receive(vm.reports, nowMs)
                table.clear(vm.sound.agesMs(vm.suspected, nowMs), nowMs)
                vm.suspected = table.suspected()
                vm.refused = vm.refusals.decide(table.refused(), nowMs)
            }
        }
    }

    /** Guards against targets that crash one after the other, and against refusing what sound requests share. */
    @Test
    fun `only the part that crashes targets is refused`() {
        for (seed in 1..20) {
            val simulation = Simulation(seed)
            simulation.run(3_000, crashingShare = 0.0)
            simulation.run(30_000, crashingShare = 0.2)
            // Three crashes, and what is already running or admitted until the refusal is known.
            expectThat(simulation.crashingRuns).isGreaterThan(2)
            expectThat(simulation.crashingRuns).isLessThanOrEqualTo(8)
            expectThat(simulation.refusedSound).describedAs("seed $seed").isEmpty()
        }
    }

    /** Guards against refused requests after targets crash at one moment for a reason that is not in the requests. */
    @Test
    fun `several targets that crash at one moment lead to no refusal`() {
        for (crashes in listOf(3, 6, 8)) {
            val simulation = Simulation(crashes)
            simulation.run(3_000, crashingShare = 0.0)
            val soundBefore = simulation.soundRuns
            (0 until crashes).forEach { simulation.crash(it) }
            simulation.run(10_000, crashingShare = 0.0)
            expectThat(simulation.refusedSound).isEmpty()
            expectThat(simulation.soundRuns - soundBefore).isEqualTo((10_000 / TICK_MS).toInt())
        }
    }
}
