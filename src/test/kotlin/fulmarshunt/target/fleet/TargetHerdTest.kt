/*
 * Many entry VMs place requests by the same outdated loads. A small model of plain targets shows whether they send them
 * to the same target, and how many a slow one gets.
 */
package fulmarshunt.target.fleet

import fulmarshunt.TargetId
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo
import java.util.PriorityQueue
import kotlin.random.Random

private const val ENTRY_VMS = 73
private const val VIEW_AGE_MS = 300L
private const val SLOTS = 6
private const val WORK_MS = 60L
private const val RUN_MS = 20_000L

/** What became of the requests of one run of the model. */
private class ModelResult(counts: Map<TargetId, Int>, val waitsMs: List<Long>) {
    val shares: Map<TargetId, Double> = counts.mapValues { it.value / counts.values.sum().toDouble() }
    val p95WaitMs: Long get() = waitsMs.sorted()[waitsMs.size * 95 / 100]
}

class TargetHerdTest {
    /** A target that runs [SLOTS] requests concurrently and queues the others. */
    private class ModelTarget(val known: KnownTarget, val workMs: Long) {
        val freeAtMs = LongArray(SLOTS)
        var waiting = 0
    }

    private class Ending(val atMs: Long, val vm: Int, val placement: Placement, val elapsedMs: Long, val target: Int)

    /**
     * Runs [perS] requests a second at [targets] targets, the last of which is [slower] times slower.
     *
     * @param entryVms the number of entry VMs that they know of; up to 16 choose the cheapest target.
     */
    private fun run(perS: Int, targets: Int, slower: Int, statesLoad: Boolean, entryVms: Int = ENTRY_VMS): ModelResult {
        val random = Random(3)
        val models = List(targets) {
            val work = if (it == targets - 1) WORK_MS * slower else WORK_MS
            ModelTarget(known(record("t$it", service = plain).copy(slots = SLOTS)), work)
        }
        val vms = List(ENTRY_VMS) { TimedFleet(nextRandom = random::nextDouble) }
        val startMs = vms.first().nowMs
        val endings = PriorityQueue<Ending>(compareBy { it.atMs })
        val counts = mutableMapOf<TargetId, Int>()
        val waitsMs = mutableListOf<Long>()
        for (nowMs in startMs until startMs + RUN_MS) {
            while (endings.isNotEmpty() && endings.peek().atMs <= nowMs) end(endings.poll(), vms, models, statesLoad)
            if ((nowMs - startMs) % VIEW_AGE_MS == 0L) refresh(vms, models, nowMs, entryVms)
            if (random.nextDouble() >= perS / 1_000.0) continue
            val vm = random.nextInt(ENTRY_VMS)
            vms[vm].nowMs = nowMs
            val result = runBlocking { vms[vm].fleet.place(request("r", plain), 0) }
            val placement = (result as PlacementResult.Placed).placement
            val index = models.indexOfFirst { it.known.id == placement.target.id }
            val model = models[index]
            val slot = model.freeAtMs.indices.minBy { model.freeAtMs[it] }
            val beginMs = maxOf(nowMs, model.freeAtMs[slot])
            val endMs = beginMs + model.workMs / 2 + random.nextLong(model.workMs)
            model.freeAtMs[slot] = endMs
            waitsMs += beginMs - nowMs
            counts.merge(placement.target.id, 1, Int::plus)
            endings += Ending(endMs, vm, placement, endMs - nowMs, index)
        }
        return ModelResult(counts, waitsMs)
    }

    private fun end(ending: Ending, vms: List<TimedFleet>, models: List<ModelTarget>, statesLoad: Boolean) {
        val vm = vms[ending.vm].also { it.nowMs = ending.atMs }
        val model = models[ending.target]
        if (statesLoad) {
            val running = model.freeAtMs.count { it > ending.atMs }.toLong()
            val load = statedLoad(running, 0, SLOTS.toLong(), 100 * model.workMs / WORK_MS).getOrNull()
            load?.let { vm.fleet.evidence.recordLoad(model.known, it, ending.atMs) }
        }
        vm.fleet.evidence.recordAnswer(ending.placement, ending.elapsedMs)
        vm.fleet.end(ending.placement, UseOutcome.SUCCEEDED)
    }

    /** Gives all entry VMs the same view. */
    private fun refresh(vms: List<TimedFleet>, models: List<ModelTarget>, nowMs: Long, entryVms: Int) {
        val uses = vms.map { it.fleet.use() }
        val total = mutableMapOf<TargetId, TargetUse>()
        uses.forEach { use -> use.forEach { (id, part) -> total.merge(id, part) { x, y -> x + y } } }
        vms.forEachIndexed { index, vm ->
            vm.nowMs = nowMs
            val others = total.mapValues { (id, use) ->
                use.copy(running = use.running - (uses[index][id]?.running ?: 0))
            }
            vm.fleet.update(
                viewOf(*models.map { it.known }.toTypedArray()).copy(othersUse = others, entryVms = entryVms),
            )
        }
    }

    /** Guards against entry VMs that send all requests of a moment to the target that was idle 300 ms ago. */
    @Test
    fun `entry VMs with the same outdated view do not crowd one target`() {
        for (statesLoad in listOf(false, true)) {
            val spread = run(250, targets = 5, slower = 1, statesLoad)
            val cheapest = run(250, targets = 5, slower = 1, statesLoad, entryVms = 16)
            expectThat(spread.waitsMs.average()).isLessThanOrEqualTo(cheapest.waitsMs.average() / 3)
            expectThat(spread.p95WaitMs).isLessThanOrEqualTo(WORK_MS)
        }
    }

    /** Guards against a slow target that each of many entry VMs has to find out for itself again and again. */
    @Test
    fun `a slow target gets few requests of many entry VMs`() {
        for (statesLoad in listOf(false, true)) {
            for (targets in listOf(3, 5)) {
                val shares = run(100, targets, slower = 5, statesLoad).shares
                expectThat(shares[TargetId("t${targets - 1}")] ?: 0.0).isLessThanOrEqualTo(0.08)
            }
        }
    }
}
