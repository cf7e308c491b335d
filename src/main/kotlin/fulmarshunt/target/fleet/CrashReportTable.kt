/*
 * What was running at targets when they crashed. A cause is a whole request or a part of a prompt; one that was present
 * at several crashes is refused by every entry VM. Parts that many prompts share are present at most crashes. They are
 * distinguished from the cause by runs that pass the point at which the cause crashes a target. Of parts that were
 * present at the same crashes, only the deepest is refused, because fewer other prompts have it; a part above it that
 * is the cause is refused once it was present at a crash without the other. Confined to the control thread.
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

/** The same for a part that no run has passed yet; such a part must be stopped sooner. */
private const val UNKNOWN_CRASH_MOMENT_MS = 200L

/** How long crash reports are kept, and for how long a cause counts as sound. */
internal const val CRASH_RETENTION_MS: Long = 600_000

/**
 * How long a report counts while it is not known whether its target has crashed. Targets are back some seconds after a
 * crash, and entry VMs then hear of their new start.
 */
internal const val UNCONFIRMED_RETENTION_MS: Long = 10_000

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
    /** The position of the part in its prompt, from 1 on, or 0 for a whole request. */
    public val depth: Int = 0,
    /**
     * Whether the target accepted no connections or has started anew. Otherwise it accepted one and did not respond,
     * which may have another cause.
     */
    public val isConfirmed: Boolean = true,
    /**
     * The beginning of [request] if its body is long, by which entry VMs tell that they must know the whole of a
     * request before they send it; null from older versions.
     */
    public val beginning: Fingerprint? = null,
) {
    /** How long this report counts. */
    internal val retentionMs: Long get() = if (isConfirmed) CRASH_RETENTION_MS else UNCONFIRMED_RETENTION_MS
}

/** Counts the crashes at which each cause was present since it was last known to be sound. */
public class CrashReportTable {
    /** When each reported crash was noticed. */
    private val crashedAtMs = linkedMapOf<CrashReport, Long>()

    /** When a run last showed that a cause is sound, for causes with reports. */
    private val soundAtMs = mutableMapOf<Fingerprint, Long>()
    private var evaluationOrNull: Evaluation? = null

    private data class Crash(val target: TargetId, val startedAtMs: Long)

    /** The crashes at which a cause was present, with the times at which they were noticed. */
    private class Presence(val atMs: Map<Crash, Long>, val depth: Int) {
        /** Returns whether this cause alone may have caused all crashes at which the cause with [other] was present. */
        fun explains(other: Presence): Boolean = atMs.keys.containsAll(other.atMs.keys) &&
            (atMs.size > other.atMs.size || specificity > other.specificity)

        /** Fewer requests share a deeper part, and none shares a whole request. */
        private val specificity: Int get() = if (depth == 0) Int.MAX_VALUE else depth
    }

    private class Evaluation(val suspected: Set<Fingerprint>, val refused: Set<Fingerprint>)

    private val evaluation: Evaluation get() = evaluationOrNull ?: evaluate().also { evaluationOrNull = it }

    /**
     * Adds reports and returns those that are new.
     *
     * @param agesMs the time since each crash was noticed. A control VM that has restarted gets all reports at once;
     *   the crashes still happened at different moments.
     */
    public fun receive(agesMs: Map<CrashReport, Long>, nowMs: Long): Map<CrashReport, Long> {
        expire(nowMs)
        val valid = agesMs.filter { (report, ageMs) -> ageMs <= report.retentionMs }
        val added = valid.filterKeys { it !in crashedAtMs }
        for ((report, ageMs) in valid) {
            // The first VM to report a crash may have been the last to notice it.
            val knownAtMs = crashedAtMs[report] ?: Long.MAX_VALUE
            if (nowMs - ageMs >= knownAtMs) continue
            crashedAtMs[report] = nowMs - ageMs
            evaluationOrNull = null
        }
        val eldest = crashedAtMs.keys.iterator()
        while (crashedAtMs.size > MAX_REPORTS) {
            eldest.next()
            eldest.remove()
        }
        return added
    }

    /**
     * Clears causes that are sound of the crashes before, and returns those for which this changes the decision.
     *
     * @param soundAgesMs the time since a run last showed that a cause is sound. Causes without reports are ignored.
     */
    public fun clear(soundAgesMs: Map<Fingerprint, Long>, nowMs: Long): Map<Fingerprint, Long> {
        if (soundAgesMs.isEmpty()) return emptyMap()
        val reported = crashedAtMs.keys.mapTo(mutableSetOf()) { it.request }
        val later = soundAgesMs.filter { (cause, ageMs) ->
            cause in reported && ageMs <= CRASH_RETENTION_MS && nowMs - ageMs > (soundAtMs[cause] ?: Long.MIN_VALUE)
        }
        if (later.isEmpty()) return emptyMap()
        val suspectedBefore = evaluation.suspected
        val knownBefore = soundAtMs.keys.toSet()
        later.forEach { (cause, ageMs) -> soundAtMs[cause] = nowMs - ageMs }
        evaluationOrNull = null
        val suspected = evaluation.suspected
        return soundAgesMs.filterKeys {
            it in soundAtMs && (it !in knownBefore || (it in suspectedBefore && it !in suspected))
        }
    }

    /**
     * Returns the reports to repeat to other control VMs, recent ones and those against suspected causes, with the time
     * since each crash was noticed.
     */
    public fun reportsToRepeat(nowMs: Long): Map<CrashReport, Long> = crashedAtMs
        .filter { (report, atMs) -> nowMs - atMs <= REPEAT_REPORTS_MS || report.request in evaluation.suspected }
        .mapValues { (_, atMs) -> nowMs - atMs }

    /** Returns the causes with reports that are known to be sound, with the time since this was shown. */
    public fun soundAgesMs(nowMs: Long): Map<Fingerprint, Long> = soundAtMs.entries
        .sortedByDescending { it.value }
        .take(MAX_LISTED)
        .associate { (cause, atMs) -> cause to nowMs - atMs }

    /** Returns the causes that were present at several crashes and were not cleared since. */
    public fun suspected(): Set<Fingerprint> = evaluation.suspected

    /** Returns the causes that must not run again, and the beginnings of long requests among them. */
    public fun refused(): Set<Fingerprint> = evaluation.refused

    /** Drops the reports that count no more, and returns whether there were any. */
    public fun expire(nowMs: Long): Boolean {
        if (!crashedAtMs.entries.removeIf { (report, atMs) -> nowMs - atMs > report.retentionMs }) return false
        soundAtMs.keys.retainAll(crashedAtMs.keys.mapTo(mutableSetOf()) { it.request })
        evaluationOrNull = null
        return true
    }

    private fun evaluate(): Evaluation {
        val suspected = crashedAtMs.entries
            .filter { (report, atMs) -> atMs > (soundAtMs[report.request] ?: Long.MIN_VALUE) }
            .groupBy { it.key.request }
            .mapValues { (_, reports) -> presenceOf(reports) }
            .filterValues { it.atMs.size >= CRASHES_UNTIL_SUSPICION }
        val mostSuspected = suspected.entries.sortedByDescending { it.value.atMs.size }.take(MAX_LISTED)
        val candidates = mostSuspected.filter { (cause, presence) -> isRefusalDue(cause, presence) }
        val refused = candidates.filter { candidate -> candidates.none { it.value.explains(candidate.value) } }
            .mapTo(mutableSetOf()) { it.key }
        val beginnings = crashedAtMs.keys.filter { it.request in refused }.mapNotNull { it.beginning }
        return Evaluation(mostSuspected.mapTo(mutableSetOf()) { it.key }, refused + beginnings)
    }

    private fun presenceOf(reports: List<Map.Entry<CrashReport, Long>>): Presence = Presence(
        reports.groupingBy { Crash(it.key.target, it.key.startedAtMs) }
            .fold(Long.MAX_VALUE) { earliestAtMs, (_, atMs) -> minOf(earliestAtMs, atMs) },
        reports.maxOf { it.key.depth },
    )

    private fun isRefusalDue(cause: Fingerprint, presence: Presence): Boolean {
        val crashesAtMs = presence.atMs.values.sorted()
        return when {
            cause in soundAtMs -> momentsOf(crashesAtMs, CRASH_MOMENT_MS) >= CRASHES_UNTIL_REFUSAL_OF_SOUND
            presence.depth > 0 -> momentsOf(crashesAtMs, UNKNOWN_CRASH_MOMENT_MS) >= CRASHES_UNTIL_REFUSAL
            else -> crashesAtMs.size >= CRASHES_UNTIL_REFUSAL
        }
    }

    /** Returns the number of moments at which the crashes happened; crashes within [lengthMs] count once. */
    private fun momentsOf(crashesAtMs: List<Long>, lengthMs: Long): Int {
        var moments = 0
        var lastAtMs = Long.MIN_VALUE / 2
        for (atMs in crashesAtMs) {
            if (atMs - lastAtMs < lengthMs) continue
            moments += 1
            lastAtMs = atMs
        }
        return moments
    }
}
