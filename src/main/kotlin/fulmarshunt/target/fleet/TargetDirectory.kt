/*
 * The targets that one control VM knows, from their announcements or from other control VMs. Changes are numbered, so
 * that entry VMs can request those that they do not have yet. Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.TargetId
import fulmarshunt.target.TargetInstance
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.serialization.Serializable
import org.apache.logging.log4j.LogManager

/** The number of missed announcements after which a target counts as silent. */
private const val SILENT_AFTER_ANNOUNCEMENTS = 4

/** How long a target that left or is silent is kept, so that late announcements are recognised. */
private const val RETENTION_MS = 120_000L

/**
 * How long announcements of a target that has left do not make it ready again; they can arrive seconds late. It is
 * bounded, because the statement that it has left need not name the start to which it belongs.
 */
private const val LEFT_RETENTION_MS = 30_000L

/** A record, and whether its target has stopped announcing itself. */
@Serializable
public data class ListedTarget(public val record: TargetRecord, public val isSilent: Boolean)

/** The targets that one control VM knows. */
public class TargetDirectory(
    /** The period of the announcements of targets. */
    announcementPeriodMs: Long,
) {
    private val log = LogManager.getLogger(TargetDirectory::class.java)
    private val silentAfterMs = announcementPeriodMs * SILENT_AFTER_ANNOUNCEMENTS

    private class Entry(var record: TargetRecord, var announcedAtMs: Long, var isSilent: Boolean, var change: Long) {
        /** When the target last announced itself to this control VM. */
        var directAtMs = Long.MIN_VALUE / 2
    }

    private val entries = mutableMapOf<TargetId, Entry>()
    private val leaving = LeavingTargets()
    private val left = LeavingTargets(LEFT_RETENTION_MS)
    private val changeState = MutableStateFlow(0L)

    /** The number of the last change. */
    public val lastChange: StateFlow<Long> = changeState.asStateFlow()

    /**
     * Processes a record that was announced [ageMs] ago.
     *
     * @param isDirect whether the target announced it to this control VM.
     * @return whether it changes more than the time of the last announcement.
     */
    public fun receive(record: TargetRecord, nowMs: Long, ageMs: Long = 0, isDirect: Boolean = false): Boolean {
        if (record.phase == TargetPhase.LEFT) recordLeft(record.instance, nowMs)
        val isChange = receiveKnown(left.applyTo(leaving.applyTo(record)), nowMs, ageMs)
        if (isDirect) entries[record.id]?.directAtMs = nowMs
        return isChange
    }

    /** Records that [instance] has left; its last record may be newer than the one that says so. */
    private fun recordLeft(instance: TargetInstance, nowMs: Long) {
        left.record(instance, nowMs)
        val entry = entries[instance.target] ?: return
        val record = left.applyTo(entry.record)
        if (record == entry.record) return
        entry.record = record
        entry.change = nextChange()
    }

    private fun receiveKnown(record: TargetRecord, nowMs: Long, ageMs: Long): Boolean {
        val entry = entries[record.id]
        if (entry != null && !record.isNewerThan(entry.record)) {
            if (record == entry.record) entry.announcedAtMs = maxOf(entry.announcedAtMs, nowMs - ageMs)
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
            entry.announcedAtMs = nowMs - ageMs
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
            markFormerAsLeft(record)
        }
        return isChange
    }

    /**
     * Marks a target as left.
     *
     * @param startedAtMs the start time that the target sent, or null if it sent none.
     * @return the record to send to other control VMs, or null if the target is unknown or was restarted since.
     */
    public fun leave(id: TargetId, startedAtMs: Long?, nowMs: Long): TargetRecord? {
        val entry = entries[id] ?: return null
        if (startedAtMs != null && startedAtMs < entry.record.startedAtMs) return null
        if (entry.record.phase == TargetPhase.LEFT) return entry.record
        val record = entry.record.copy(phase = TargetPhase.LEFT, sequence = entry.record.sequence + 1)
        receive(record, nowMs)
        return record
    }

    /**
     * Records that targets have said to entry VMs that they are leaving.
     *
     * @return those for which that was not known.
     */
    public fun receiveLeaving(instances: Set<TargetInstance>, nowMs: Long): Set<TargetInstance> {
        val added = instances.filterTo(mutableSetOf()) { leaving.record(it, nowMs) }
        for (instance in added) {
            val entry = entries[instance.target] ?: continue
            val record = leaving.applyTo(entry.record)
            if (record == entry.record) continue
            entry.record = record
            entry.change = nextChange()
            log.info("target leaves id={} born={} source=entry VM", record.id, record.startedAtMs)
        }
        return added
    }

    /** Returns the listed targets that have said to entry VMs that they are leaving. */
    public fun leavingInstances(): Set<TargetInstance> = entries.values
        .filter { it.record.phase == TargetPhase.LEAVING && it.record.instance in leaving.instances }
        .mapTo(mutableSetOf()) { it.record.instance }

    /** Marks targets that have stopped announcing themselves as silent, and removes those without a recent record. */
    public fun expire(nowMs: Long) {
        for (entry in entries.values) {
            if (entry.isSilent || entry.record.phase == TargetPhase.LEFT) continue
            if (nowMs - entry.announcedAtMs <= silentAfterMs) continue
            entry.isSilent = true
            entry.change = nextChange()
            log.warn("target silent id={} lastHeardAgeMs={}", entry.record.id, nowMs - entry.announcedAtMs)
        }
        entries.values.removeIf { nowMs - it.announcedAtMs > RETENTION_MS }
        leaving.expire(nowMs)
        left.expire(nowMs)
    }

    /** Returns the targets that changed after the change with number [change]. */
    public fun changedAfter(change: Long): List<ListedTarget> =
        entries.values.filter { it.change > change }.map { ListedTarget(it.record, it.isSilent) }

    /**
     * Returns the records that were announced within [periodMs], with their ages.
     *
     * @param isDirect whether only targets that announced themselves to this control VM are included.
     */
    public fun announcedWithin(periodMs: Long, nowMs: Long, isDirect: Boolean = false): List<AgedRecord> =
        entries.values
            .filter { nowMs - (if (isDirect) it.directAtMs else it.announcedAtMs) <= periodMs }
            .map { AgedRecord(it.record, nowMs - it.announcedAtMs) }

    private fun isSuperseded(record: TargetRecord): Boolean = entries.values.any {
        it.record.address == record.address && it.record.id != record.id && it.record.startedAtMs > record.startedAtMs
    }

    /** Marks other targets at the address of [record] as left: an address belongs to the target started there last. */
    private fun markFormerAsLeft(record: TargetRecord) {
        val formerEntries = entries.values.filter {
            it.record.address == record.address && it.record.id != record.id && it.record.phase != TargetPhase.LEFT
        }
        for (entry in formerEntries) {
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
