/*
 * Finds requests that crash the targets they run on. A request that ran on two targets when they crashed is
 * quarantined, unless another request ran on both as well: then either may be the cause, and both remain suspects until
 * a crash occurs with only one of them running.
 */
package fulmarshunt.entry

import fulmarshunt.Fingerprint
import fulmarshunt.appending
import fulmarshunt.dropping
import fulmarshunt.target.TargetInstance
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How long a quarantined request is refused. */
public const val QUARANTINE_MS: Long = 60L * 60 * 1_000

/** How long a crash counts against the requests that were running. */
internal const val CRASH_RETENTION_MS: Long = 60L * 60 * 1_000

/** The maximum number of suspects and of crashes that are kept; the oldest are removed first. */
internal const val MAX_SUSPECTS: Int = 10_000

/** A request that was running on a target when it crashed. */
@Serializable
public data class PoisonSuspect(
    /** The requests that ran on the same target at every crash so far; any of them may be the cause instead. */
    @SerialName("fellows")
    public val coRunning: Set<Fingerprint>,
    public val atEpochMs: Long,
)

/** The recent crashes and the suspects. */
@Serializable
public data class CrashHistory(
    @SerialName("deaths")
    public val crashes: Map<TargetInstance, Long> = emptyMap(),
    public val suspects: Map<Fingerprint, PoisonSuspect> = emptyMap(),
)

/**
 * Returns the history after the crash of [instance] with [running] on it, and the requests to quarantine.
 *
 * @param alreadyCounted requests that were placed on the target before their last crash was known. When several targets
 *   crash at about the same time, for example because a failure domain fails, the crashes count once against them.
 */
internal fun CrashHistory.record(
    instance: TargetInstance,
    running: Set<Fingerprint>,
    nowEpochMs: Long,
    alreadyCounted: Set<Fingerprint> = emptySet(),
): Pair<CrashHistory, List<Fingerprint>> {
    if (instance in crashes) return this to emptyList()
    val narrowed =
        running.associateWith { fingerprint ->
            suspects[fingerprint]?.coRunning?.intersect(running) ?: (running - fingerprint)
        }
    fun isCountedAgain(fingerprint: Fingerprint) = fingerprint in suspects && fingerprint !in alreadyCounted
    val poison = running.filter { isCountedAgain(it) && narrowed.getValue(it).isEmpty() }
    // A crash that a poison request explains does not count against any other request.
    val cleared = suspects.filterValues { suspect -> poison.any { it in suspect.coRunning } }.keys + poison
    var remaining = suspects
    cleared.forEach { remaining = remaining.dropping(it) }
    if (poison.isEmpty()) {
        narrowed.filterKeys { it !in suspects || it !in alreadyCounted }.forEach { (fingerprint, coRunning) ->
            // Dropped first, so that the suspects stay in the order of their last crash.
            remaining = remaining.dropping(fingerprint).appending(fingerprint, PoisonSuspect(coRunning, nowEpochMs))
        }
    }
    return CrashHistory(crashes.appending(instance, nowEpochMs), remaining).bounded() to poison.sortedBy { it.value }
}

/** Returns the history without the entries that are older than [CRASH_RETENTION_MS] at [nowEpochMs]. */
internal fun CrashHistory.expire(nowEpochMs: Long): CrashHistory {
    var result = this
    while ((result.crashes.values.firstOrNull() ?: nowEpochMs) <= nowEpochMs - CRASH_RETENTION_MS) {
        result = result.copy(crashes = result.crashes.dropping(result.crashes.keys.first()))
    }
    while ((result.suspects.values.firstOrNull()?.atEpochMs ?: nowEpochMs) <= nowEpochMs - CRASH_RETENTION_MS) {
        result = result.copy(suspects = result.suspects.dropping(result.suspects.keys.first()))
    }
    return result
}

private fun CrashHistory.bounded(): CrashHistory {
    var result = this
    while (result.crashes.size > MAX_SUSPECTS) {
        result = result.copy(crashes = result.crashes.dropping(result.crashes.keys.first()))
    }
    while (result.suspects.size > MAX_SUSPECTS) {
        result = result.copy(suspects = result.suspects.dropping(result.suspects.keys.first()))
    }
    return result
}
