/*
 * What was running at targets when they crashed. A cause is a whole request or a part of a prompt; one that was present
 * at several crashes is refused by every entry VM. Parts that many prompts share are present at most crashes. They are
 * told from the cause by runs that pass the point at which the cause crashes a target. Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.Fingerprint
import fulmarshunt.TargetId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The crashes after which entry VMs are asked whether a cause is sound. */
private const val CRASHES_UNTIL_SUSPICION = 2

/** The crashes after which a cause is refused; others rarely meet as many, as requests are repeated few times. */
private const val CRASHES_UNTIL_REFUSAL = 3

/** The crashes after which a cause is refused although it was sound before. */
private const val CRASHES_UNTIL_REFUSAL_OF_SOUND = 6

/**
 * Crashes of targets at one moment, as when a failure domain is lost, count once against a cause that was sound.
 * Otherwise a part that most prompts share would be refused for the loss of six targets, and could never be cleared.
 */
private const val CRASH_MOMENT_MS = 1_000L

/** How long crash reports are kept, and for how long a cause counts as sound. */
internal const val CRASH_RETENTION_MS: Long = 600_000

/** Beyond this number, the oldest reports are dropped. A report takes about 100 bytes in a message. */
private const val MAX_REPORTS = 8_192

/** The maximum number of causes in a list of suspected or sound causes, which bounds the messages. */
private const val MAX_LISTED = 256

/** How long a report that suspects nobody is repeated to other control VMs, which may have missed it. */
private const val REPEAT_REPORTS_MS = 10_000L

/** Reports that [target], which started at [startedAtMs], crashed while [request] was running there. */
@Serializable
public data class CrashReport(
    /** The cause: the whole request, or a part of its prompt. */
    public val request: Fingerprint,
    public val target: TargetId,
    @SerialName("bornAtMs")
    public val startedAtMs: Long,
)

/** Counts the crashes at which each cause was present since it was last known to be sound. */
public class CrashReportTable {
    private val reportedAtMs = linkedMapOf<CrashReport, Long>()

    /** When a run last showed that a cause is sound, for causes with reports. */
    private val soundAtMs = mutableMapOf<Fingerprint, Long>()
    private var verdictOrNull: Verdict? = null

    private class Verdict(val suspected: Set<Fingerprint>, val refused: Set<Fingerprint>)

    private val verdict: Verdict get() = verdictOrNull ?: judge().also { verdictOrNull = it }

    /** Adds reports and returns those that are new. */
    public fun receive(reports: List<CrashReport>, nowMs: Long): List<CrashReport> {
        expire(nowMs)
        val added = reports.filter { reportedAtMs.putIfAbsent(it, nowMs) == null }
        val eldest = reportedAtMs.keys.iterator()
        while (reportedAtMs.size > MAX_REPORTS) {
            eldest.next()
            eldest.remove()
        }
        if (added.isNotEmpty()) verdictOrNull = null
        return added
    }

    /**
     * Clears causes that are sound of the crashes before, and returns those for which this changes the decision.
     *
     * @param soundAgesMs the time since a run last showed that a cause is sound. Causes without reports are ignored.
     */
    public fun clear(soundAgesMs: Map<Fingerprint, Long>, nowMs: Long): Map<Fingerprint, Long> {
        if (soundAgesMs.isEmpty()) return emptyMap()
        val reported = reportedAtMs.keys.mapTo(mutableSetOf()) { it.request }
        val suspectedBefore = verdict.suspected
        val knownBefore = soundAtMs.keys.toSet()
        for ((cause, ageMs) in soundAgesMs) {
            val atMs = nowMs - ageMs
            if (cause in reported && ageMs <= CRASH_RETENTION_MS && atMs > (soundAtMs[cause] ?: Long.MIN_VALUE)) {
                soundAtMs[cause] = atMs
            }
        }
        verdictOrNull = null
        val suspected = verdict.suspected
        return soundAgesMs.filterKeys {
            it in soundAtMs && (it !in knownBefore || (it in suspectedBefore && it !in suspected))
        }
    }

    /** Returns the reports to repeat to other control VMs: recent ones, and those against suspected causes. */
    public fun reportsToRepeat(nowMs: Long): List<CrashReport> = reportedAtMs
        .filter { (report, atMs) -> nowMs - atMs <= REPEAT_REPORTS_MS || report.request in verdict.suspected }
        .keys.toList()

    /** Returns the causes with reports that are known to be sound, with the time since this was shown. */
    public fun soundAgesMs(nowMs: Long): Map<Fingerprint, Long> = soundAtMs.entries
        .sortedByDescending { it.value }
        .take(MAX_LISTED)
        .associate { (cause, atMs) -> cause to nowMs - atMs }

    /** Returns the causes that were present at several crashes and were not cleared since. */
    public fun suspected(): Set<Fingerprint> = verdict.suspected

    /** Returns the causes that must not run again. */
    public fun refused(): Set<Fingerprint> = verdict.refused

    private fun expire(nowMs: Long) {
        if (!reportedAtMs.values.removeIf { nowMs - it > CRASH_RETENTION_MS }) return
        soundAtMs.keys.retainAll(reportedAtMs.keys.mapTo(mutableSetOf()) { it.request })
        verdictOrNull = null
    }

    private fun judge(): Verdict {
        val crashesAtMs = reportedAtMs.entries
            .filter { (report, atMs) -> atMs > (soundAtMs[report.request] ?: Long.MIN_VALUE) }
            .groupBy({ it.key.request }, { it.value })
        val suspected = crashesAtMs.filterValues { it.size >= CRASHES_UNTIL_SUSPICION }
        val refused = suspected.filter { (cause, atMs) ->
            if (cause in soundAtMs) {
                momentsOf(atMs) >= CRASHES_UNTIL_REFUSAL_OF_SOUND
            } else {
                atMs.size >= CRASHES_UNTIL_REFUSAL
            }
        }
        val mostSuspected = suspected.entries.sortedByDescending { it.value.size }.take(MAX_LISTED).map { it.key }
        return Verdict(mostSuspected.toSet(), refused.keys)
    }

    /** Returns the number of moments at which the crashes happened. */
    private fun momentsOf(crashesAtMs: List<Long>): Int {
        var moments = 0
        var lastAtMs = Long.MIN_VALUE / 2
        for (atMs in crashesAtMs) {
            if (atMs - lastAtMs < CRASH_MOMENT_MS) continue
            moments += 1
            lastAtMs = atMs
        }
        return moments
    }
}
