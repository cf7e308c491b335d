/*
 * What all entry VMs have observed in running roll-outs, as one control VM knows it. Each control VM keeps it, so that
 * a new leader can judge at once. It is soft state: without it, a roll-out gathers evidence anew, and one without
 * enough evidence is rolled back. Confined to the control thread.
 */
package fulmarshunt.operator.rollout

import fulmarshunt.target.rollout.EvidenceCell
import fulmarshunt.target.rollout.EvidenceCounts
import fulmarshunt.target.rollout.EvidenceKey
import fulmarshunt.target.rollout.EvidenceReport

/** How often the counts are kept, to compare only what was observed since then. */
private const val SAMPLE_PERIOD_MS = 500L

/** The most samples that are kept; older ones are thinned out. */
private const val MAX_SAMPLES = 64

/** The most reports that are kept, so that restarting entry VMs cannot fill the memory. */
private const val MAX_REPORTS = 2_048

/** The parts of the time of a roll-out, counted back from now, that are also judged alone for a late onset. */
private val recentParts = listOf(0.5, 0.25)

/** Sums of reports of entry VMs. */
public class EvidenceTable {
    private val reports = linkedMapOf<String, EvidenceReport>()
    private val directSources = mutableSetOf<String>()
    private val changedSources = mutableSetOf<String>()

    private class Sample(val atMs: Long, val reports: Map<String, EvidenceReport>)

    private val samples = ArrayDeque<Sample>()

    /** Receives [report]; [isDirect] says that the entry VM has sent it, so that it is passed on. */
    internal fun receive(report: EvidenceReport, isDirect: Boolean) {
        if (isDirect) directSources += report.source else directSources -= report.source
        val known = reports[report.source]
        if (known != null && known.number >= report.number) return
        reports[report.source] = report
        if (isDirect) changedSources += report.source
        if (reports.size > MAX_REPORTS) reports.remove(reports.keys.first())
    }

    /** Returns the reports that entry VMs have sent to this control VM. */
    internal fun direct(): List<EvidenceReport> = directSources.mapNotNull { reports[it] }

    /** Returns those of [direct] that have changed since the last call. */
    internal fun takeChanged(): List<EvidenceReport> =
        changedSources.mapNotNull { reports[it] }.also { changedSources.clear() }

    /** Keeps the current counts for comparisons, if the last ones are old enough. */
    internal fun sample(nowMs: Long) {
        if (samples.isNotEmpty() && nowMs - samples.last().atMs < SAMPLE_PERIOD_MS) return
        samples.addLast(Sample(nowMs, reports.toMap()))
        if (samples.size > MAX_SAMPLES) {
            val kept = samples.filterIndexed { index, _ -> index % 2 == 0 || index == samples.lastIndex }
            samples.clear()
            samples.addAll(kept)
        }
    }

    /** Forgets all but the reports on the roll-outs that are open. */
    internal fun retain(open: Collection<Rollout>) {
        val orders = open.mapTo(mutableSetOf()) { it.orderIndex }
        reports.values.removeIf { report -> report.cells.none { it.key.orderIndex in orders } }
        directSources.retainAll(reports.keys)
        changedSources.retainAll(reports.keys)
        if (open.isEmpty()) samples.clear()
    }

    /** Returns what was observed in [rollout], which is [elapsedMs] old. */
    internal fun evidenceOf(rollout: Rollout, nowMs: Long, elapsedMs: Long): RolloutEvidence {
        val all = observationsOf(rollout, emptyMap())
        val recent = recentParts.mapNotNull { part ->
            val sinceMs = nowMs - (elapsedMs * part).toLong()
            val base = samples.lastOrNull { it.atMs <= sinceMs } ?: return@mapNotNull null
            observationsOf(rollout, base.reports)
        }
        return RolloutEvidence(all, recent)
    }

    private fun observationsOf(rollout: Rollout, base: Map<String, EvidenceReport>): List<Observation> =
        reports.values.flatMap { report ->
            val former = base[report.source]?.cells.orEmpty().associate { it.key to it.counts }
            report.cells.filter { it.key.orderIndex == rollout.orderIndex && it.key.service == rollout.order.service }
                .map { Observation(report.vm, it.key, it.countsSince(former)) }
        }
}

private fun EvidenceCell.countsSince(former: Map<EvidenceKey, EvidenceCounts>): EvidenceCounts =
    former[key]?.let { counts - it } ?: counts
