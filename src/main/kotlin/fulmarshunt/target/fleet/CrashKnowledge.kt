/*
 * What an entry VM knows of crashes: the possible causes that were present when a target crashed, which it reports to
 * control VMs, and those that its own runs have shown to be sound. Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.Clock
import fulmarshunt.Fingerprint

/** How long crash reports are sent repeatedly to control VMs that are watched already. */
private const val REPORT_CRASHES_MS = 10_000L

/** Beyond this number, the oldest crash reports are dropped. A report takes about 100 bytes in a message. */
private const val MAX_CRASH_REPORTS = 2_048

/** The crashes and sound causes that one entry VM has noticed. */
public class CrashKnowledge internal constructor(private val clock: Clock) {
    private val reports = linkedMapOf<CrashReport, Long>()
    private val soundCauses = SoundCauses()

    /** Kept apart from the parts of prompts, which plain requests with bodies of their own would displace. */
    private val servedRequests = SoundCauses()

    /**
     * Returns the crashes to be reported to a control VM, one report for each cause that was present, with the time
     * since the crash was noticed.
     *
     * @param isNewReceiver whether the control VM may lack earlier reports, as after its restart.
     */
    public fun reportAgesMs(isNewReceiver: Boolean = false): Map<CrashReport, Long> {
        val nowMs = clock.nowMs()
        reports.entries.removeIf { (report, atMs) -> nowMs - atMs > report.retentionMs }
        val maxAgeMs = if (isNewReceiver) CRASH_RETENTION_MS else REPORT_CRASHES_MS
        return reports.mapValues { (_, atMs) -> nowMs - atMs }.filterValues { it <= maxAgeMs }
    }

    /** Records that a possible cause was present at a target when it crashed, [ageMs] ago. */
    public fun record(report: CrashReport, ageMs: Long = 0) {
        reports.merge(report, clock.nowMs() - ageMs, ::minOf)
        if (reports.size > MAX_CRASH_REPORTS) reports.remove(reports.keys.first())
    }

    /** Records that a run has shown that [causes] crash no target. */
    public fun recordSound(causes: Set<Fingerprint>): Unit = soundCauses.record(causes, clock.nowMs())

    /** Records that a plain target has served [request]. */
    public fun recordServed(request: Fingerprint): Unit = servedRequests.record(setOf(request), clock.nowMs())

    /** Returns which of [causes] runs of this VM have shown to be sound, with the time since then. */
    public fun soundAgesMs(causes: Set<Fingerprint>): Map<Fingerprint, Long> =
        servedRequests.agesMs(causes, clock.nowMs()) + soundCauses.agesMs(causes, clock.nowMs())
}
