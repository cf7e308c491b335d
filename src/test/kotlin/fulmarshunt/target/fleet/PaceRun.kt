/*
 * Entry VMs that share five targets, with reports of their use that are 400 ms old.
 */
package fulmarshunt.target.fleet

import fulmarshunt.TargetId
import fulmarshunt.clockOf
import kotlinx.coroutines.runBlocking
import kotlin.random.Random

private const val STEP_MS = 50L
private const val REPORT_PERIOD_MS = 200L

/** How old a report is when it is received. */
private const val REPORTS_IN_TRANSIT = 2
private const val SLOTS = 32
private const val SOUND_LATENCY_MS = 1_000L

/** How one target answers: the latency for the number that runs, or null if it refuses. */
internal typealias Answer = (running: Int, sinceStartMs: Long) -> Long?

internal val sound: Answer = { running, _ -> if (running > 2 * SLOTS) null else SOUND_LATENCY_MS }

/** A run with [requestsPerS] in all; `t0` to `t4` are sound unless [answers] says otherwise. */
internal class PaceRun(
    private val entryVms: Int,
    private val targets: Int = 5,
    private val requestsPerS: Double = 80.0,
    private val coldLimitPerS: Double = 0.0,
) {
    private val random = Random(entryVms + targets)
    var nowMs: Long = 0
        private set
    private val vms = MutableList(entryVms) { newVm() }
    private val listed = (0 until targets).associate { TargetId("t$it") to newRecord("t$it", 1) }.toMutableMap()
    private val startedAtMs = mutableMapOf<TargetId, Long>()
    private val coldUntilMs = mutableMapOf<TargetId, Long>()
    val answers: MutableMap<TargetId, Answer> = mutableMapOf()
    private val open = mutableMapOf<TargetId, MutableList<Pair<Fleet, Placement>>>()
    private val running = mutableMapOf<TargetId, Int>()
    private val ends = mutableMapOf<Long, MutableList<() -> Unit>>()
    private val reports = ArrayDeque<List<Map<TargetId, TargetUse>>>()
    private var received = List(entryVms) { emptyMap<TargetId, TargetUse>() }
    private var own = List(entryVms) { emptyMap<TargetId, TargetUse>() }

    /** The times at which requests were sent to `t0`. */
    val sentAtMs: MutableList<Long> = mutableListOf()
    var isInContact: Boolean = true

    private fun newVm(): Fleet = Fleet(
        clockOf { nowMs },
        here,
        RepeatBudget(RepeatLimits(0.2, 10.0, 10_000), nowMs) { 0.0 },
        random::nextDouble,
    ) { coldLimitPerS }

    private fun newRecord(id: String, startedAtMs: Long) =
        record(id, startedAtMs = startedAtMs, service = plain).copy(slots = SLOTS)

    fun runningAt(id: String): Int = running[TargetId(id)] ?: 0

    /** Returns how many entry VMs limit a target. */
    fun limitingVms(): Int = vms.count { it.pacedTargets > 0 }

    /** Lets another instance of [id] start, which answers by [answer]. */
    fun restartTarget(id: String, answer: Answer, coldForMs: Long = 0) {
        val target = TargetId(id)
        listed[target] = newRecord(id, nowMs)
        startedAtMs[target] = nowMs
        running.remove(target)
        open.remove(target)?.forEach { (vm, placement) -> vm.end(placement, UseOutcome.FAILED) }
        coldUntilMs[target] = nowMs + coldForMs
        answers[target] = answer
    }

    fun pauseTarget(id: String, durationMs: Long) {
        val target = TargetId(id)
        vms.forEach { vm -> vm.view.targets[target]?.let { vm.recordPause(it, durationMs) } }
    }

    fun restartVm(number: Int) {
        vms[number] = newVm()
    }

    /** Runs for [durationMs], and returns the most requests that ran at `t0` at once. */
    fun runFor(durationMs: Long): Int {
        val untilMs = nowMs + durationMs
        var most = 0
        while (nowMs < untilMs) {
            step()
            most = maxOf(most, runningAt("t0"))
        }
        return most
    }

    /** Runs until `t0` has four fifths of the mean load of the others, and returns the time that this took. */
    fun timeToReachMs(limitMs: Long): Long {
        val fromMs = nowMs
        while (nowMs < fromMs + limitMs) {
            step()
            if (runningAt("t0") >= 0.8 * (1 until targets).map { runningAt("t$it") }.average()) break
        }
        return nowMs - fromMs
    }

    private fun step() {
        ends.remove(nowMs)?.forEach { it() }
        if (nowMs % REPORT_PERIOD_MS == 0L) exchangeReports()
        val expected = requestsPerS * STEP_MS / 1_000
        repeat((expected + random.nextDouble()).toInt()) { send(vms.random(random)) }
        nowMs += STEP_MS
    }

    private fun exchangeReports() {
        reports.addLast(vms.map { it.use() })
        if (reports.size > REPORTS_IN_TRANSIT && isInContact) {
            own = reports.removeFirst()
            val total = sumOf(own)
            received = own.map { use -> total.mapValues { (id, sum) -> use[id]?.let { sum - it } ?: sum } }
        }
        vms.forEachIndexed { number, vm ->
            val known = listed.mapValues { (id, record) -> KnownTarget(record, false, coldUntilMs[id] ?: 0) }
            vm.update(
                FleetView(
                    targets = known,
                    entryVms = entryVms,
                    othersUse = received[number],
                    isInContact = isInContact,
                ),
            )
        }
    }

    private fun sumOf(uses: List<Map<TargetId, TargetUse>>): Map<TargetId, TargetUse> =
        uses.flatMap { it.entries }.groupBy({ it.key }, { it.value })
            .mapValues { (_, parts) -> parts.reduce { sum, part -> sum + part } }

    private fun send(vm: Fleet) {
        val result = runBlocking { vm.place(request("r", plain), 0) }
        val placement = (result as? PlacementResult.Placed)?.placement ?: return
        val id = placement.target.id
        if (id == TargetId("t0")) sentAtMs += nowMs
        val latencyMs = (answers[id] ?: sound)(running[id] ?: 0, nowMs - (startedAtMs[id] ?: 0))
        if (latencyMs != null) running.merge(id, 1, Int::plus)
        open.getOrPut(id) { mutableListOf() } += vm to placement
        val instance = placement.target.instance
        val endsAtMs = nowMs + (latencyMs ?: STEP_MS).coerceAtLeast(STEP_MS) / STEP_MS * STEP_MS
        ends.getOrPut(endsAtMs) { mutableListOf() } += {
            if (latencyMs != null && listed[id]?.instance == instance) running.merge(id, -1, Int::plus)
            open[id]?.remove(vm to placement)
            vm.end(placement, if (latencyMs == null) UseOutcome.REFUSED else UseOutcome.SUCCEEDED)
        }
    }
}
