/*
 * What entry VMs observe of the versions of a service during a roll-out. Each VM counts since the roll-out began, so
 * that a lost or repeated report changes nothing, and control VMs add the counts up.
 */
package fulmarshunt.target.rollout

import fulmarshunt.LogIndex
import fulmarshunt.ServiceId
import fulmarshunt.TargetId
import fulmarshunt.VmId
import kotlinx.serialization.Serializable
import kotlin.math.ln

/** The ratio of the bounds of two neighbouring latency classes; a version is bad if it is several times slower. */
internal const val LATENCY_CLASS_RATIO: Double = 1.5

/** The highest latency class, of about 85 s; longer latencies count as this one. */
private const val MAX_LATENCY_CLASS = 28

/** Returns the latency class of [latencyMs]. */
public fun latencyClassOf(latencyMs: Long): Int =
    (ln(latencyMs.coerceAtLeast(1).toDouble()) / ln(LATENCY_CLASS_RATIO)).toInt().coerceAtMost(MAX_LATENCY_CLASS)

/** What is counted together. */
@Serializable
public data class EvidenceKey(
    public val service: ServiceId,
    /** The order of the roll-out. */
    public val orderIndex: LogIndex,
    public val route: String,
    /** The target, if it has the version on trial; other versions are counted together. */
    public val trialTarget: TargetId?,
)

/** The answers to requests with one [EvidenceKey]. */
@Serializable
public data class EvidenceCounts(
    /** The complete answers that say that the target failed. */
    public val errors: Int = 0,
    /** The answers that broke off or did not come, which may be the fault of a link. */
    public val lost: Int = 0,
    /** The good answers of cold targets, whose latencies say nothing. */
    public val coldAnswers: Int = 0,
    /** The other good answers by the class of the time to the first event, or to the end of a plain answer. */
    public val answers: Map<Int, Int> = emptyMap(),
    /** The requests that were given up without an answer, by the class of the time until then. */
    public val unanswered: Map<Int, Int> = emptyMap(),
) {
    /** All good answers. */
    public val good: Int get() = coldAnswers + answers.values.sum()

    /** Returns the counts of both. */
    internal operator fun plus(other: EvidenceCounts): EvidenceCounts = combine(other) { one, two -> one + two }

    /** Returns the counts since [base]. */
    internal operator fun minus(base: EvidenceCounts): EvidenceCounts = combine(base) { one, two -> one - two }

    private fun combine(other: EvidenceCounts, operation: (Int, Int) -> Int) = EvidenceCounts(
        operation(errors, other.errors),
        operation(lost, other.lost),
        operation(coldAnswers, other.coldAnswers),
        combine(answers, other.answers, operation),
        combine(unanswered, other.unanswered, operation),
    )
}

private fun combine(one: Map<Int, Int>, two: Map<Int, Int>, operation: (Int, Int) -> Int): Map<Int, Int> =
    (one.keys + two.keys).associateWith { operation(one[it] ?: 0, two[it] ?: 0) }

/** One line of a report. */
@Serializable
public data class EvidenceCell(public val key: EvidenceKey, public val counts: EvidenceCounts)

/** The counts of one process of an entry VM. */
@Serializable
public data class EvidenceReport(
    public val vm: VmId,
    /** The process that counts; a restarted one begins anew. */
    public val source: String,
    /** Increases with each change of the counts of [source]. */
    public val number: Long,
    public val cells: List<EvidenceCell>,
)
