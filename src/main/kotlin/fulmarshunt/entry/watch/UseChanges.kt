/*
 * The use of targets as it is sent to one receiver: completely at first, then only what has changed. Entry VMs and
 * control VMs exchange it several times a second, while the use of most targets stays the same.
 */
package fulmarshunt.entry.watch

import fulmarshunt.TargetId
import fulmarshunt.target.fleet.TargetUse

/** What is sent of the use of targets. */
internal class UseMessage(
    val use: Map<TargetId, TargetUse>,
    val number: Long,
    /** The number of the use that [use] changes, or null if it is complete. */
    val changes: Long?,
)

/** The use that was sent to one receiver. Confined to the control thread. */
internal class SentUse {
    private var sent: Map<TargetId, TargetUse> = emptyMap()
    private var number = 0L

    /** Returns the message for a receiver that has the use of number [received], or null if it has none. */
    fun messageFor(received: Long?, use: Map<TargetId, TargetUse>): UseMessage {
        val isBaseKnown = received != null && received > 0 && received == number
        val changes = if (isBaseKnown) use.changesSince(sent) else use
        if (!isBaseKnown || changes.isNotEmpty()) number += 1
        sent = use
        return UseMessage(changes, number, if (isBaseKnown) received else null)
    }

    /** Returns whether the receiver of number [received] lacks a part of [use]. */
    fun isChange(received: Long?, use: Map<TargetId, TargetUse>): Boolean =
        received == null || received != number || use != sent
}

/** Returns the entries that differ from [base]; those that are missing here are [TargetUse.NONE]. */
internal fun Map<TargetId, TargetUse>.changesSince(base: Map<TargetId, TargetUse>): Map<TargetId, TargetUse> =
    filter { (target, use) -> base[target] != use } + (base.keys - keys).associateWith { TargetUse.NONE }

/** Returns this use with [changes]. */
internal fun Map<TargetId, TargetUse>.withChanges(changes: Map<TargetId, TargetUse>): Map<TargetId, TargetUse> =
    (this + changes).filterValues { it != TargetUse.NONE }

/** Returns the sum of the use of several VMs. */
internal fun sumOfUse(uses: Collection<Map<TargetId, TargetUse>>): Map<TargetId, TargetUse> {
    val sum = mutableMapOf<TargetId, TargetUse>()
    for (use in uses) {
        use.forEach { (target, part) -> sum[target] = (sum[target] ?: TargetUse.NONE) + part }
    }
    return sum
}
