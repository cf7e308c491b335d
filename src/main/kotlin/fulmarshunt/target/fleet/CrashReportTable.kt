/*
 * Requests that were running when their target died. A request that was there at several deaths is probably their
 * cause, and is stopped at every entry VM. Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.Fingerprint
import fulmarshunt.TargetId
import kotlinx.serialization.Serializable

/** The deaths after which a request is refused; an innocent request rarely meets as many with its few repeats. */
private const val DEATHS_UNTIL_REFUSAL = 3

/** How long deaths are remembered. */
private const val REMEMBER_MS = 600_000L

/** A request that was running at [target], started at [startedAtMs], when it died. */
@Serializable
public data class CrashReport(
    public val request: Fingerprint,
    public val target: TargetId,
    public val startedAtMs: Long,
)

/** Counts the deaths at which each request was present. */
public class CrashReportTable {
    private val reportedAtMs = linkedMapOf<CrashReport, Long>()

    /** Takes reports and returns those that are new. */
    public fun receive(suspects: List<CrashReport>, nowMs: Long): List<CrashReport> {
        reportedAtMs.values.removeIf { nowMs - it > REMEMBER_MS }
        return suspects.filter { reportedAtMs.putIfAbsent(it, nowMs) == null }
    }

    /** Every report that is remembered. */
    public fun all(): List<CrashReport> = reportedAtMs.keys.toList()

    /** The requests that must not run again. */
    public fun refused(): Set<Fingerprint> =
        reportedAtMs.keys.groupingBy { it.request }.eachCount().filterValues { it >= DEATHS_UNTIL_REFUSAL }.keys
}
