/*
 * Simulated roll-outs of good and bad versions, through the shares of entry VMs and the sums of their evidence.
 */
package fulmarshunt.operator.rollout

import fulmarshunt.LogIndex
import fulmarshunt.ServiceId
import fulmarshunt.SoftwareVersion
import fulmarshunt.TargetId
import fulmarshunt.VmId
import fulmarshunt.target.rollout.EvidenceCell
import fulmarshunt.target.rollout.EvidenceCounts
import fulmarshunt.target.rollout.EvidenceKey
import fulmarshunt.target.rollout.EvidenceReport
import fulmarshunt.target.rollout.TrialBounds
import fulmarshunt.target.rollout.TrialShare
import fulmarshunt.target.rollout.latencyClassOf
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import java.util.PriorityQueue
import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom

private const val DURATION_MS = 12_000L
private const val STEP_MS = 200L
private const val PRESENT_TARGETS = 10
private const val TRIAL_TARGETS = 3

private const val WARM_AT_MS = 2_000L

/** How often each simulation is repeated; docs/design/roll-outs.md has the figures of longer runs by hand. */
private val runs = Integer.getInteger("rollout.runs", 200)
private val badRuns = (runs / 4).coerceAtLeast(1)

/** What the version on trial does to a request at [timeMs] on the main or the minor route. */
private class Fault(
    val errorShare: Double = 0.0,
    val slowShare: Double = 0.0,
    val fromMs: Long = 0,
    val onlyMinorRoute: Boolean = false,
)

private class Conditions(
    val entryVms: Int = 12,
    val requestsPerS: Double = 40.0,
    val baseErrors: Double = 0.01,
    val hasGreyPresent: Boolean = false,
    val hasGreyTrial: Boolean = false,
    val hasBurst: Boolean = false,
    val hasFrozenVm: Boolean = false,
)

private class Simulation(private val random: Random, private val conditions: Conditions, private val fault: Fault?) {
    private val rollout = Rollout(
        RolloutOrder(ServiceId("s"), SoftwareVersion("v2"), DURATION_MS),
        LogIndex(1),
        RolloutPhase.RUNNING,
    )
    private val table = EvidenceTable()
    private val counts = List(conditions.entryVms) { mutableMapOf<EvidenceKey, EvidenceCounts>() }
    private val shares = List(conditions.entryVms) {
        TrialShare(TrialBounds(0.1, 50.0, 5_000), conditions.entryVms, DURATION_MS, true, random::nextDouble)
    }

    private class Answer(val atMs: Long, val vm: Int, val key: EvidenceKey, val counts: EvidenceCounts)

    private val pending = PriorityQueue<Answer>(compareBy { it.atMs })
    var trialRequests = 0
    var requests = 0
    var endedAtMs = 0L

    fun run(): Verdict {
        var nowMs = 0L
        while (true) {
            val count = poisson(conditions.requestsPerS * STEP_MS / 1_000)
            repeat(count) { request(nowMs + random.nextLong(STEP_MS)) }
            nowMs += STEP_MS
            deliver(nowMs)
            table.sample(nowMs)
            val verdict = judge(table.evidenceOf(rollout, nowMs, nowMs), nowMs, DURATION_MS)
            endedAtMs = nowMs
            if (verdict !is Verdict.Continue) return verdict
        }
    }

    private fun request(atMs: Long) {
        val vm = random.nextInt(conditions.entryVms)
        val isMinor = random.nextDouble() < 0.25
        val isTrial = atMs >= WARM_AT_MS && shares[vm].isDue(atMs)
        shares[vm].record(isTrial)
        requests += 1
        if (isTrial) trialRequests += 1
        val target = random.nextInt(if (isTrial) TRIAL_TARGETS else PRESENT_TARGETS)
        val key = EvidenceKey(
            ServiceId("s"),
            LogIndex(1),
            if (isMinor) "minor" else "main",
            if (isTrial) TargetId("t$target") else null,
        )
        val active = fault?.takeIf { isTrial && atMs >= it.fromMs && (isMinor || !it.onlyMinorRoute) }
        val isGrey = target == 0 && if (isTrial) conditions.hasGreyTrial else conditions.hasGreyPresent
        val errorShare = maxOf(conditions.baseErrors, if (isGrey) 0.5 else 0.0, active?.errorShare ?: 0.0)
        val latencyMs = latencyMs(atMs, vm, isMinor, active)
        val result = if (random.nextDouble() < errorShare) {
            EvidenceCounts(errors = 1)
        } else {
            EvidenceCounts(answers = mapOf(latencyClassOf(latencyMs) to 1))
        }
        pending += Answer(atMs + latencyMs, vm, key, result)
    }

    private fun latencyMs(atMs: Long, vm: Int, isMinor: Boolean, active: Fault?): Long {
        var latencyMs = (if (isMinor) 250.0 else 60.0) * exp(random.asJavaRandom().nextGaussian() * 0.5)
        if (conditions.hasBurst && atMs in 4_000..7_000) latencyMs *= 3
        if (random.nextDouble() < (active?.slowShare ?: 0.0)) latencyMs *= 4
        if (conditions.hasFrozenVm && vm == 0 && atMs in 3_000..5_000) latencyMs += 5_000 - atMs
        return latencyMs.toLong()
    }

    private fun deliver(nowMs: Long) {
        while (pending.isNotEmpty() && pending.first().atMs <= nowMs) {
            val next = pending.poll()
            counts[next.vm].merge(next.key, next.counts) { one, two -> one + two }
        }
        counts.forEachIndexed { vm, cells ->
            val report = EvidenceReport(VmId("$vm"), "$vm", nowMs, cells.map { EvidenceCell(it.key, it.value) })
            table.receive(report, isDirect = true)
        }
    }

    private fun poisson(mean: Double): Int {
        var product = random.nextDouble()
        var count = 0
        while (product > exp(-mean)) {
            product *= random.nextDouble()
            count += 1
        }
        return count
    }
}

class RolloutVerdictTest {
    private val conditions = mapOf(
        "plain" to Conditions(),
        "many VMs" to Conditions(entryVms = 68, requestsPerS = 90.0),
        "low traffic" to Conditions(requestsPerS = 12.0),
        "grey present target" to Conditions(hasGreyPresent = true),
        "grey new target" to Conditions(hasGreyTrial = true),
        "burst" to Conditions(hasBurst = true),
        "frozen VM" to Conditions(entryVms = 9, hasFrozenVm = true),
    )

    private fun simulate(conditions: Conditions, fault: Fault?, count: Int): List<Pair<Simulation, Verdict>> =
        List(count) {
            val simulation = Simulation(Random(it), conditions, fault)
            simulation to simulation.run()
        }

    /** Guards against good versions that are rolled back because of what has nothing to do with the version. */
    @Test
    fun `at most one in 200 good versions is rolled back`() {
        for ((name, condition) in conditions) {
            val bad = simulate(condition, null, runs).map { it.second }.filter { it is Verdict.Bad }
            println("good version, $name: ${bad.size} of $runs rolled back ${bad.take(3)}")
            expectThat(bad.size).describedAs(name).isLessThanOrEqualTo(runs / 200)
        }
    }

    /** Guards against bad versions that are completed, or that get more than the bounds allow. */
    @Test
    fun `each bad version is rolled back within its time and its share`() {
        val faults = mapOf(
            "errors" to Fault(errorShare = 0.4),
            "slow" to Fault(slowShare = 0.6),
            "errors late" to Fault(errorShare = 0.5, fromMs = 4_000),
            "slow late" to Fault(slowShare = 0.9, fromMs = 3_500),
            "errors on one route" to Fault(errorShare = 0.8, onlyMinorRoute = true),
        )
        for ((name, condition) in conditions) {
            for ((kind, fault) in faults) {
                val results = simulate(condition, fault, badRuns)
                val missed = results.count { it.second !is Verdict.Bad }
                println(
                    "bad version, $name, $kind: missed $missed of $badRuns, " +
                        "mean end ${results.map { it.first.endedAtMs }.average()} ms, " +
                        "most requests ${results.maxOf { it.first.trialRequests }}",
                )
                // Some faults show too little within the time at low traffic; docs/design/roll-outs.md has the figures.
                if (name !=
                    "low traffic"
                ) {
                    expectThat(missed).describedAs("$name, $kind").isLessThanOrEqualTo(badRuns / 10)
                }
                results.forEach { (simulation, _) ->
                    expectThat(simulation.trialRequests.toDouble()).isLessThan(0.1 * simulation.requests + 50)
                }
            }
        }
    }

    /** Guards against a tail that is summed wrongly. */
    @Test
    fun `the chance of an excess is that of drawing without replacement`() {
        expectThat(chanceOfExcess(1, 1, 0, 9)).isEqualTo(0.1, 1e-9)
        expectThat(chanceOfExcess(2, 2, 0, 3)).isEqualTo(0.1, 1e-9)
        expectThat(chanceOfExcess(0, 5, 3, 10)).isEqualTo(1.0, 1e-9)
    }
}
