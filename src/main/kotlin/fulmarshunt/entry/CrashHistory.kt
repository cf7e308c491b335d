/*
 * Finds requests that crash the targets they run on. A request that ran on two targets when they died is quarantined,
 * unless another request ran on both as well: then either may be to blame, and both stay suspects until they have been
 * apart.
 */
package fulmarshunt.entry

import fulmarshunt.Fingerprint
import fulmarshunt.Incarnation
import fulmarshunt.TargetId
import fulmarshunt.appending
import fulmarshunt.dropping
import kotlinx.serialization.Serializable

/** How long a poison request is refused. */
public const val QUARANTINE_MS: Long = 60L * 60 * 1_000

/** How long a death counts against the requests that ran then. */
internal const val SUSPICION_MS: Long = 60L * 60 * 1_000

/** Bounds the memory for suspects and for deaths; the oldest are forgotten first. */
internal const val MAX_SUSPECTS: Int = 10_000

/** One life of a target. */
@Serializable
public data class TargetInstance(public val target: TargetId, public val incarnation: Incarnation)

/** A request that ran on a target when it died. */
@Serializable
public data class Suspect(
    /** The requests that ran beside it at every death so far; any of them may be to blame instead. */
    public val fellows: Set<Fingerprint>,
    public val atEpochMs: Long,
)

/** The recent deaths and the suspects. */
@Serializable
public data class CrashHistory(
    public val deaths: Map<TargetInstance, Long> = emptyMap(),
    public val suspects: Map<Fingerprint, Suspect> = emptyMap(),
)

/**
 * Returns the counts after the death of [life] with [running] on it, and the requests to quarantine.
 *
 * @param alreadyCounted requests that were placed there before their last death was known: several targets died at
 *   about the same time, as when a failure domain fails, and such deaths count once against them.
 */
internal fun CrashHistory.record(
    life: TargetInstance,
    running: Set<Fingerprint>,
    nowEpochMs: Long,
    alreadyCounted: Set<Fingerprint> = emptySet(),
): Pair<CrashHistory, List<Fingerprint>> {
    if (life in deaths) return this to emptyList()
    val narrowed =
        running.associateWith { fingerprint ->
            suspects[fingerprint]?.fellows?.intersect(running) ?: (running - fingerprint)
        }
    fun isCountedAgain(fingerprint: Fingerprint) = fingerprint in suspects && fingerprint !in alreadyCounted
    val poison = running.filter { isCountedAgain(it) && narrowed.getValue(it).isEmpty() }
    // A death that a poison request explains counts against nobody else.
    val cleared = suspects.filterValues { suspect -> poison.any { it in suspect.fellows } }.keys + poison
    var left = suspects
    cleared.forEach { left = left.dropping(it) }
    if (poison.isEmpty()) {
        narrowed.filterKeys { it !in suspects || it !in alreadyCounted }.forEach { (fingerprint, fellows) ->
            // Removed first, so that the order stays that of the last death.
            left = left.dropping(fingerprint).appending(fingerprint, Suspect(fellows, nowEpochMs))
        }
    }
    return CrashHistory(deaths.appending(life, nowEpochMs), left).bounded() to poison.sortedBy { it.value }
}

/** Returns the counts without what happened too long before [nowEpochMs]. */
internal fun CrashHistory.expire(nowEpochMs: Long): CrashHistory {
    var left = this
    while ((left.deaths.values.firstOrNull() ?: nowEpochMs) <= nowEpochMs - SUSPICION_MS) {
        left = left.copy(deaths = left.deaths.dropping(left.deaths.keys.first()))
    }
    while ((left.suspects.values.firstOrNull()?.atEpochMs ?: nowEpochMs) <= nowEpochMs - SUSPICION_MS) {
        left = left.copy(suspects = left.suspects.dropping(left.suspects.keys.first()))
    }
    return left
}

private fun CrashHistory.bounded(): CrashHistory {
    var left = this
    while (left.deaths.size > MAX_SUSPECTS) left = left.copy(deaths = left.deaths.dropping(left.deaths.keys.first()))
    while (left.suspects.size > MAX_SUSPECTS) {
        left = left.copy(suspects = left.suspects.dropping(left.suspects.keys.first()))
    }
    return left
}
