/*
 * Requests that were running when their target crashed. A request that was present at several crashes is probably their
 * cause, and every entry VM refuses it. Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.Fingerprint
import fulmarshunt.TargetId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The crashes after which a request is refused; others rarely meet as many, as requests are repeated few times. */
private const val CRASHES_UNTIL_REFUSAL = 3

/** How long crash reports are kept. */
private const val RETENTION_MS = 600_000L

/** Reports that [target], which started at [startedAtMs], crashed while [request] was running there. */
@Serializable
public data class CrashReport(
    public val request: Fingerprint,
    public val target: TargetId,
    @SerialName("bornAtMs")
    public val startedAtMs: Long,
)

/** Counts the crashes at which each request was present. */
public class CrashReportTable {
    private val reportedAtMs = linkedMapOf<CrashReport, Long>()

    /** Adds reports and returns those that are new. */
    public fun receive(reports: List<CrashReport>, nowMs: Long): List<CrashReport> {
        reportedAtMs.values.removeIf { nowMs - it > RETENTION_MS }
        return reports.filter { reportedAtMs.putIfAbsent(it, nowMs) == null }
    }

    /** Returns all reports that are kept. */
    public fun all(): List<CrashReport> = reportedAtMs.keys.toList()

    /** Returns the requests that must not run again. */
    public fun refused(): Set<Fingerprint> =
        reportedAtMs.keys.groupingBy { it.request }.eachCount().filterValues { it >= CRASHES_UNTIL_REFUSAL }.keys
}
