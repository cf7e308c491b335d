/*
 * Judges the version on trial by comparing it with the present one on the same routes at the same time: how many
 * answers say that the target failed, are lost, or come late. Bursts, overload and faults of the platform hit both and
 * cancel out. Each route counts alone, because a version can be bad on one route only, and all together, because each
 * may have little traffic. The last parts of the time count alone as well, because a version can turn bad later. What
 * one target or one entry VM observed alone proves nothing: a target may be faulty or cold, and a VM may be slow. The
 * decision is pure, and answers roll-outs at low and at high load.
 */
package fulmarshunt.operator.rollout

import fulmarshunt.VmId
import fulmarshunt.target.rollout.EvidenceCounts
import fulmarshunt.target.rollout.EvidenceKey
import kotlin.math.exp
import kotlin.math.ln

/** How sure a verdict must be. */
internal class VerdictBounds(
    /** The chance of a difference by luck below which a running roll-out is rolled back; it is judged some 50 times. */
    val maxChance: Double = 1e-5,
    /** The same for the last judgement before all requests move, which is made once. */
    val maxFinalChance: Double = 3e-4,
    /** The chance that must hold without the target, or the entry VM, that shows most of the difference. */
    val maxChanceWithoutOne: Double = 0.03,
    /** The same if that one stands out, so that it may be faulty itself. */
    val maxChanceWithoutOutlier: Double = 5e-4,
    /** The chance of a difference between it and the others below which it stands out. */
    val outlierChance: Double = 0.08,
)

/** Fewer bad answers than this are never enough. */
private const val MIN_BAD_ANSWERS = 3

/** The bad answers that must remain without the target, or the entry VM, that shows most of them. */
private const val MIN_OTHER_BAD_ANSWERS = 2

/** The part of the duration after which the verdict is due; the rest is for moving streams and for lost leaders. */
private const val DECISION_PART = 0.75

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
internal fun judge(
    evidence: RolloutEvidence,
    elapsedMs: Long,
    durationMs: Long,
    bounds: VerdictBounds = VerdictBounds(),
): Verdict {
    val isDue = elapsedMs >= decisionMs(durationMs)
    val maxChance = if (isDue) bounds.maxFinalChance else bounds.maxChance
    val comparisons = (listOf(evidence.all) + evidence.recent).flatMap(::comparisonsOf)
    comparisons.firstNotNullOfOrNull { it.excessOrNull(maxChance, bounds) }
        ?.let { return Verdict.Bad(it) }
    val answers = evidence.all.filter { it.key.trialTarget != null }.sumOf { it.counts.good }
    return when {
        !isDue -> Verdict.Continue("$answers answers")
        answers < MIN_ANSWERS -> Verdict.Bad("only $answers answers, $MIN_ANSWERS are needed")
        else -> Verdict.Good("$answers answers")
    }
}

private fun decisionMs(durationMs: Long): Long =
    (durationMs * DECISION_PART).toLong().coerceAtMost(durationMs - AFTER_DECISION_MS).coerceAtLeast(durationMs / 2)

/** Bad answers of all. */
private class Tally(val bad: Int, val total: Int) {
    operator fun plus(other: Tally) = Tally(bad + other.bad, total + other.total)
}

private fun List<Tally>.sum(): Tally = fold(Tally(0, 0), Tally::plus)

/** What one entry VM observed of one target on trial. */
private class TrialTally(val source: Observation, val tally: Tally)

/** One way in which the answers of two versions are compared. */
private class Comparison(val kind: String, val route: String, val present: Tally, val trial: List<TrialTally>) {
    /** Returns the figures if the version on trial is worse by more than luck, also without any one target or VM. */
    fun excessOrNull(maxChance: Double, bounds: VerdictBounds): String? {
        val all = trial.map { it.tally }.sum()
        if (all.bad < MIN_BAD_ANSWERS) return null
        val chance = chanceOf(all)
        val isBroad = chance <= maxChance && holdsWithoutOne(bounds) { it.key.trialTarget } &&
            holdsWithoutOne(bounds) { it.vm }
        if (!isBroad) return null
        val figures = "${all.bad} of ${all.total}, present version ${present.bad} of ${present.total}"
        return "$kind on $route: $figures, chance ${"%.1e".format(chance)}"
    }

    private fun holdsWithoutOne(bounds: VerdictBounds, groupOf: (Observation) -> Any?): Boolean {
        val groups = trial.filter { it.tally.total > 0 }.groupBy { groupOf(it.source) }
        // With a single one, there is nothing to compare it with.
        if (groups.size < 2) return true
        val (key, worstGroup) = groups.maxBy { (_, group) -> group.sumOf { it.tally.bad } }
        val worst = worstGroup.map { it.tally }.sum()
        val rest = groups.filterKeys { it != key }.values.flatten().map { it.tally }.sum()
        val isOutlier = chanceOfExcess(worst.bad, worst.total, rest.bad, rest.total) <= bounds.outlierChance
        val maxChance = if (isOutlier) bounds.maxChanceWithoutOutlier else bounds.maxChanceWithoutOne
        return rest.bad >= MIN_OTHER_BAD_ANSWERS && chanceOf(rest) <= maxChance
    }

    private fun chanceOf(trial: Tally): Double = chanceOfExcess(trial.bad, trial.total, present.bad, present.total)
}

private fun comparisonsOf(observations: List<Observation>): List<Comparison> {
    val onRoutes = observations.groupBy { it.key.route }.flatMap { (route, onRoute) -> comparisonsOn(route, onRoute) }
    val onAll = onRoutes.groupBy { it.kind }.filterValues { it.size > 1 }.map { (kind, all) ->
        Comparison(kind, "all routes", all.map { it.present }.sum(), all.flatMap { it.trial })
    }
    return onRoutes + onAll
}

private fun comparisonsOn(route: String, observations: List<Observation>): List<Comparison> {
    val (trial, presents) = observations.partition { it.key.trialTarget != null }
    val present = presents.fold(EvidenceCounts()) { sum, next -> sum + next.counts }
    val lateClass = lateClassOrNull(present)
    val kinds = listOfNotNull<Pair<String, (EvidenceCounts) -> Tally>>(
        "errors" to ::errorsOf,
        "lost answers" to ::lostOf,
        lateClass?.let { "late answers" to { counts -> lateOf(counts, it) } },
    )
    return kinds.map { (kind, tallyOf) ->
        Comparison(kind, route, tallyOf(present), trial.map { TrialTally(it, tallyOf(it.counts)) })
    }
}

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
