/*
 * The limits that targets name in their responses: how many requests a target takes in a second from all entry VMs
 * together, for as long as it says so. Entry VMs hear them, control VMs pass them on; the newest statement of an
 * instance holds. Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.target.TargetInstance
import kotlinx.serialization.Serializable

/** How long a limit holds that no entry VM hears any more; the target is then asked again without one. */
private const val LIMIT_RETENTION_MS = 60_000L

/** How long it is remembered that a target names no limit any more, so that all VMs hear of it. */
private const val LIFTED_RETENTION_MS = 10_000L

/** Beyond this number, the oldest statements are dropped, so that a faulty sender cannot fill the memory. */
private const val MAX_STATEMENTS = 4_096

/** What a target has said of its limit. */
@Serializable
public data class LimitStatement(
    public val instance: TargetInstance,
    /** The requests in a second from all entry VMs together, or null if the target names no limit any more. */
    public val requestsPerS: Double?,
    /** The time since the target said so. */
    public val ageMs: Long,
) {
    /** Whether another VM may have sent this. */
    internal val isValid: Boolean get() = ageMs >= 0 && (requestsPerS == null || requestsPerS in 0.0..Double.MAX_VALUE)
}

/** The limits of targets as one VM knows them. */
internal class NamedLimits {
    private class Entry(val requestsPerS: Double?, val saidAtMs: Long, val isDirect: Boolean) {
        val retentionMs: Long get() = if (requestsPerS == null) LIFTED_RETENTION_MS else LIMIT_RETENTION_MS
    }

    private val entries = linkedMapOf<TargetInstance, Entry>()

    /** The instances that have a limit. */
    val limited: Set<TargetInstance> get() = entries.filterValues { it.requestsPerS != null }.keys

    /** Returns the requests in a second that [instance] takes from all entry VMs together, or null without a limit. */
    fun limitOrNull(instance: TargetInstance): Double? = entries[instance]?.requestsPerS

    /**
     * Records [statement] unless a newer one is known.
     *
     * @param isDirect whether this VM has it from the side that heard it, and passes it on.
     * @return whether the limit of the instance has changed.
     */
    fun record(statement: LimitStatement, nowMs: Long, isDirect: Boolean): Boolean {
        val saidAtMs = nowMs - statement.ageMs
        val former = entries[statement.instance]
        if (former == null && statement.requestsPerS == null) return false
        if (former != null && former.saidAtMs > saidAtMs) return false
        entries.remove(statement.instance)
        entries[statement.instance] = Entry(statement.requestsPerS, saidAtMs, isDirect)
        if (entries.size > MAX_STATEMENTS) entries.remove(entries.keys.first())
        return former?.requestsPerS != statement.requestsPerS
    }

    /** Returns what is known, or only what this VM passes on. */
    fun statements(nowMs: Long, onlyDirect: Boolean): List<LimitStatement> = entries
        .filterValues { it.isDirect || !onlyDirect }
        .map { (instance, entry) -> LimitStatement(instance, entry.requestsPerS, nowMs - entry.saidAtMs) }

    /** Forgets old statements. */
    fun expire(nowMs: Long) {
        entries.values.removeIf { nowMs - it.saidAtMs > it.retentionMs }
    }
}
