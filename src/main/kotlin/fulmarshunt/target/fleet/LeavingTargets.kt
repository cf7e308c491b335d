/*
 * The targets that have said that they are leaving or have left. A target says so in a response before, or without, an
 * announcement that control VMs receive. What it said holds for its instance: a later announcement that calls the
 * instance ready is older than its decision, or was written by another process. Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.target.TargetInstance

/** How long a statement is kept after it was last heard; targets leave within seconds, or at most some minutes. */
private const val RETENTION_MS = 600_000L

/** Beyond this number, the oldest statements are dropped, so that a faulty sender cannot fill the memory. */
private const val MAX_STATEMENTS = 4_096

/** Remembers for [retentionMs] which instances are leaving. */
internal class LeavingTargets(private val retentionMs: Long = RETENTION_MS) {
    private val heardAtMs = linkedMapOf<TargetInstance, Long>()

    /** The instances that are known to be leaving. */
    val instances: Set<TargetInstance> get() = heardAtMs.keys

    /** Records that [instance] is leaving, and returns whether that was not known. */
    fun record(instance: TargetInstance, nowMs: Long): Boolean {
        val isNew = heardAtMs.remove(instance) == null
        heardAtMs[instance] = nowMs
        if (heardAtMs.size > MAX_STATEMENTS) heardAtMs.remove(heardAtMs.keys.first())
        return isNew
    }

    /** Returns [record] as it is known with what its target has said. */
    fun applyTo(record: TargetRecord): TargetRecord =
        if (heardAtMs.isNotEmpty() && record.phase == TargetPhase.READY && record.instance in heardAtMs) {
            record.copy(phase = TargetPhase.LEAVING)
        } else {
            record
        }

    /** Forgets what was last heard long ago. */
    fun expire(nowMs: Long) {
        heardAtMs.values.removeIf { nowMs - it > retentionMs }
    }
}
