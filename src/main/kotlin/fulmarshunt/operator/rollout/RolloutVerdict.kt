/*
 * Judges the version on trial by comparing it with the present one on the same routes at the same time: how many answers
 * say that the target failed, and how many come late. Bursts, overload and faults of the platform hit both and cancel
 * out. Each route counts alone, because a version can be bad on one route only, and so do the last parts of the time,
 * because it can turn bad later. Lost answers count apart from errors, as links and crashes lose them too. What one target or one entry VM observed alone proves nothing: a target may be faulty
 * or cold, and a VM may be slow. The decision is pure, and answers roll-outs at low and at high load.
 */
package fulmarshunt.operator.rollout

import fulmarshunt.VmId
import fulmarshunt.target.rollout.EvidenceCounts
import fulmarshunt.target.rollout.EvidenceKey
import kotlin.math.exp
import kotlin.math.ln

/** The chance of a difference by luck below which a running roll-out is rolled back; it is judged some 100 times. */
private const val MAX_CHANCE = 1e-5

/** The same for the last judgement before all requests move, which is made once for each route, kind and time. */
private const val MAX_FINAL_CHANCE = 2e-4

/** The chance that a difference must still stay below without the target, or the entry VM, that shows most of it. */
private const val MAX_CHANCE_WITHOUT_ONE = 0.02

/** Fewer bad answers than this are never enough. */
private const val MIN_BAD_ANSWERS = 3

/** The part of the duration after which the verdict is due; the rest is for moving streams and for lost leaders. */
private const val DECISION_PART = 0.7

/** The time that is left after the verdict at least, if the duration is long enough for evidence as well. */
private const val AFTER_DECISION_MS = 2_500L

/** The answers of the version on trial without which it is not found good. */
private const val MIN_ANSWERS = 10

/** The answers of the present version without which latencies on a route are not compared. */
private const val MIN_PRESENT_ANSWERS = 10

/** The part of the answers of the present version that may count as late. */
private const val LATE_PART = 0.1

/** How many latency classes above the median of the present version an answer is late: more than twice its latency. */
private const val LATE_CLASSES = 2

/** What one entry VM observed. */
internal class Observation(val vm: VmId, val key: EvidenceKey, val counts: EvidenceCounts)

/** What all entry VMs observed, since the order and in the last parts of the time since then. */
internal class RolloutEvidence(val all: List<Observation>, val recent: List<List<Observation>>)

/** What follows from the evidence. */
internal sealed interface Verdict {
    val reason: String

    data class Continue(override val reason: String) : Verdict

    data class Good(override val reason: String) : Verdict

    data class Bad(override val reason: String) : Verdict
}

/** Returns the verdict [elapsedMs] after the order, which gives the roll-out [durationMs]. */
internal fun judge(evidence: RolloutEvidence, elapsedMs: Long, durationMs: Long): Verdict {
    val isDue = elapsedMs >= decisionMs(durationMs)
    val maxChance = if (isDue) MAX_FINAL_CHANCE else MAX_CHANCE
    val windows = listOf(evidence.all) + evidence.recent
    windows.firstNotNullOfOrNull { faultOrNull(it, maxChance) }?.let { return Verdict.Bad(it) }
    val answers = evidence.all.filter { it.key.trialTarget != null }.sumOf { it.counts.good }
    return when {
        !isDue -> Verdict.Continue("$answers answers")
        answers < MIN_ANSWERS -> Verdict.Bad("only $answers answers, $MIN_ANSWERS are needed")
        else -> Verdict.Good("$answers answers")
    }
}

private fun decisionMs(durationMs: Long): Long =
    (durationMs * DECISION_PART).toLong().coerceAtMost(durationMs - AFTER_DECISION_MS).coerceAtLeast(durationMs / 2)

/** Returns what is worse about the version on trial on some route, or null. */
private fun faultOrNull(observations: List<Observation>, maxChance: Double): String? =
    observations.groupBy { it.key.route }.entries.firstNotNullOfOrNull { (route, onRoute) ->
        val (trial, present) = onRoute.partition { it.key.trialTarget != null }
        val presentCounts = present.fold(EvidenceCounts()) { sum, next -> sum + next.counts }
        comparisonsOf(presentCounts).firstNotNullOfOrNull { comparison ->
            comparison.excessOrNull(trial, maxChance)?.let { "${comparison.what} on $route: $it" }
        }
    }

private class Tally(val bad: Int, val total: Int) {
    operator fun plus(other: Tally) = Tally(bad + other.bad, total + other.total)
}

/** One way in which the answers of two versions are compared. */
private class Comparison(val what: String, val present: Tally, val tallyOf: (EvidenceCounts) -> Tally) {
    /** Returns the figures if the [trial] version is worse by more than luck, also without any one target or VM. */
    fun excessOrNull(trial: List<Observation>, maxChance: Double): String? {
        val all = tally(trial)
        val chance = chanceOf(all)
        if (all.bad < MIN_BAD_ANSWERS || chance > maxChance) return null
        val isBroad = holdsWithoutOne(trial) { it.key.trialTarget } && holdsWithoutOne(trial) { it.vm }
        if (!isBroad) return null
        return "${all.bad} of ${all.total}, present version ${present.bad} of ${present.total}, chance $chance"
    }

    private fun holdsWithoutOne(trial: List<Observation>, source: (Observation) -> Any?): Boolean {
        val groups = trial.groupBy(source).filterValues { tally(it).total > 0 }
        // With a single one, there is nothing to compare it with.
        if (groups.size < 2) return true
        val worst = groups.maxBy { (_, group) -> tally(group).bad }.key
        return chanceOf(tally(trial.filter { source(it) != worst })) <= MAX_CHANCE_WITHOUT_ONE
    }

    private fun tally(trial: List<Observation>): Tally = trial.fold(Tally(0, 0)) { sum, next ->
        sum +
            tallyOf(next.counts)
    }

    private fun chanceOf(trial: Tally): Double = chanceOfExcess(trial.bad, trial.total, present.bad, present.total)
}

private fun comparisonsOf(present: EvidenceCounts): List<Comparison> = listOfNotNull(
    Comparison("errors", errorsOf(present), ::errorsOf),
    Comparison("lost answers", lostOf(present), ::lostOf),
    lateClassOrNull(present)?.let { late -> Comparison("late answers", lateOf(present, late)) { lateOf(it, late) } },
)

private fun errorsOf(counts: EvidenceCounts) = Tally(counts.errors, counts.errors + counts.good)

private fun lostOf(counts: EvidenceCounts) = Tally(counts.lost, counts.lost + counts.good)

/** Returns the highest latency class that is not late, given the answers of the [present] version. */
private fun lateClassOrNull(present: EvidenceCounts): Int? {
    val total = present.answers.values.sum()
    if (total < MIN_PRESENT_ANSWERS) return null
    fun classBelow(part: Double): Int {
        var below = 0
        return present.answers.toSortedMap().entries.first { (_, count) ->
            below += count
            below >= total * part
        }.key
    }
    return maxOf(classBelow(1 - LATE_PART), classBelow(1.0 / 2) + LATE_CLASSES)
}

private fun lateOf(counts: EvidenceCounts, lateClass: Int): Tally {
    val late = counts.answers.filterKeys { it > lateClass }.values.sum() +
        counts.unanswered.filterKeys { it > lateClass }.values.sum()
    val timely = counts.answers.filterKeys { it <= lateClass }.values.sum()
    return Tally(late, late + timely)
}

/**
 * Returns the chance that [bad] or more of the [bad] + [presentBad] bad answers fall on the [total] answers of one
 * version, if both versions are alike (the tail of the hypergeometric distribution).
 */
internal fun chanceOfExcess(bad: Int, total: Int, presentBad: Int, presentTotal: Int): Double {
    val allBad = bad + presentBad
    val all = total + presentTotal
    if (bad == 0 || total == 0 || presentTotal == 0) return 1.0
    val logAll = logChoose(all, total)
    return (bad..minOf(total, allBad))
        .filter { total - it <= all - allBad }
        .sumOf { exp(logChoose(allBad, it) + logChoose(all - allBad, total - it) - logAll) }
        .coerceAtMost(1.0)
}

private fun logChoose(total: Int, chosen: Int): Double {
    val few = minOf(chosen, total - chosen)
    return (1..few).sumOf { ln((total - few + it).toDouble()) - ln(it.toDouble()) }
}
