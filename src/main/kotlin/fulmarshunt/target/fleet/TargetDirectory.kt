/*
 * The targets that one control VM has heard of, from themselves or from other control VMs. It numbers its changes, so
 * that entry VMs can ask for what they lack. Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.TargetId
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.serialization.Serializable
import org.apache.logging.log4j.LogManager

/** Missed announcements after which a target counts as silent. */
private const val SILENT_AFTER_ANNOUNCEMENTS = 4

/** How long a target that left or fell silent is remembered, so that late announcements are recognised. */
private const val REMEMBER_MS = 120_000L

/** A record with whether its target has stopped announcing itself. */
@Serializable
public data class ListedTarget(public val record: TargetRecord, public val isSilent: Boolean)

/** The targets that one control VM knows. */
public class TargetDirectory(
    /** How often targets announce themselves. */
    announcementPeriodMs: Long,
) {
    private val log = LogManager.getLogger(TargetDirectory::class.java)
    private val silentAfterMs = announcementPeriodMs * SILENT_AFTER_ANNOUNCEMENTS

    private class Entry(var record: TargetRecord, var heardAtMs: Long, var isSilent: Boolean, var change: Long)

    private val entries = mutableMapOf<TargetId, Entry>()
    private val changeState = MutableStateFlow(0L)

    /** The number of the last change. */
    public val lastChange: StateFlow<Long> = changeState.asStateFlow()

    /**
     * Takes a record that was announced [ageMs] ago.
     *
     * @return whether it tells more than that the target still lives.
     */
    public fun receive(record: TargetRecord, nowMs: Long, ageMs: Long = 0): Boolean {
        val entry = entries[record.id]
        if (entry != null && !record.isNewerThan(entry.record)) {
            if (record == entry.record) entry.heardAtMs = maxOf(entry.heardAtMs, nowMs - ageMs)
            return false
        }
        if (isSuperseded(record)) {
            log.info(
                "target ignored id={} born={} reason=its address has a newer target",
                record.id,
                record.startedAtMs,
            )
            return false
        }
        val isChange = entry == null || entry.isSilent || !record.isEquivalentTo(entry.record)
        if (entry == null) {
            entries[record.id] = Entry(record, nowMs - ageMs, false, nextChange())
        } else {
            entry.record = record
            entry.heardAtMs = nowMs - ageMs
            entry.isSilent = false
            if (isChange) entry.change = nextChange()
        }
        if (isChange) {
            log.info(
                "target changed id={} service={} address={} domain={} phase={} born={} sequence={} coldMs={} ageMs={}",
                record.id,
                record.service,
                record.address,
                record.domain,
                record.phase,
                record.startedAtMs,
                record.sequence,
                record.coldForMs,
                ageMs,
            )
            dropFormerAt(record)
        }
        return isChange
    }

    /**
     * Notes that a target has left.
     *
     * @param startedAtMs the start that the target spoke of, or null if it named none.
     * @return the record to pass on, or null if nothing changed.
     */
    public fun leave(id: TargetId, startedAtMs: Long?, nowMs: Long): TargetRecord? {
        val entry = entries[id] ?: return null
        if (startedAtMs != null && startedAtMs < entry.record.startedAtMs) return null
        if (entry.record.phase == TargetPhase.LEFT) return entry.record
        val record = entry.record.copy(phase = TargetPhase.LEFT, sequence = entry.record.sequence + 1)
        receive(record, nowMs)
        return record
    }

    /** Marks targets that have stopped announcing themselves, and forgets those that left long ago. */
    public fun expire(nowMs: Long) {
        for (entry in entries.values) {
            if (entry.isSilent || entry.record.phase == TargetPhase.LEFT) continue
            if (nowMs - entry.heardAtMs <= silentAfterMs) continue
            entry.isSilent = true
            entry.change = nextChange()
            log.warn("target silent id={} lastHeardAgeMs={}", entry.record.id, nowMs - entry.heardAtMs)
        }
        entries.values.removeIf { nowMs - it.heardAtMs > REMEMBER_MS }
    }

    /** Returns the targets that changed after the change with number [change]. */
    public fun changedAfter(change: Long): List<ListedTarget> =
        entries.values.filter { it.change > change }.map { ListedTarget(it.record, it.isSilent) }

    /** Returns records heard of within [periodMs], with the time since then. */
    public fun announcedWithin(periodMs: Long, nowMs: Long): List<AgedRecord> = entries.values
        .filter { nowMs - it.heardAtMs <= periodMs }
        .map { AgedRecord(it.record, nowMs - it.heardAtMs) }

    private fun isSuperseded(record: TargetRecord): Boolean = entries.values.any {
        it.record.address == record.address && it.record.id != record.id && it.record.startedAtMs > record.startedAtMs
    }

    /** An address belongs to the target that was started there last. */
    private fun dropFormerAt(record: TargetRecord) {
        val former = entries.values.filter {
            it.record.address == record.address && it.record.id != record.id && it.record.phase != TargetPhase.LEFT
        }
        for (entry in former) {
            entry.record = entry.record.copy(phase = TargetPhase.LEFT, sequence = entry.record.sequence + 1)
            entry.change = nextChange()
            log.info("target gone id={} reason=its address now belongs to {}", entry.record.id, record.id)
        }
    }

    private fun nextChange(): Long {
        changeState.value += 1
        return changeState.value
    }
}

/** A record and the time since it was announced. */
@Serializable
public data class AgedRecord(public val record: TargetRecord, public val ageMs: Long)
