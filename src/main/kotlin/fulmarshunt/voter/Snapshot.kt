/*
 * A snapshot of the state machine together with the cluster id and the membership.
 */
package fulmarshunt.voter

import fulmarshunt.ClusterId
import kotlinx.serialization.Serializable

/** Describes a snapshot. The snapshot at index 0 has no data and holds only the initial membership. */
@Serializable
internal data class SnapshotHeader(
    val cluster: ClusterId,
    /** The last entry that the snapshot covers. */
    val position: LogPosition,
    val membership: Membership,
    val sizeBytes: Int,
)

/** The last entry that a snapshot covers, and the membership that is committed there. */
internal data class SnapshotPoint(val position: LogPosition, val membership: Membership)

/** The encoded state of the state machine after the entry at the position in [header]. */
internal class Snapshot(val header: SnapshotHeader, val data: ByteArray)

/** Returns the snapshot that starts [cluster] with [membership]. */
internal fun initialSnapshot(cluster: ClusterId, membership: Membership): Snapshot =
    Snapshot(SnapshotHeader(cluster, LogPosition.START, membership, 0), ByteArray(0))

/** A snapshot of which a prefix has been received. */
internal class IncomingSnapshot(val header: SnapshotHeader, val chunks: List<ByteArray>) {
    val receivedBytes: Int = chunks.sumOf { it.size }

    fun with(chunk: ByteArray): IncomingSnapshot = IncomingSnapshot(header, chunks + chunk)

    fun assemble(): Snapshot {
        val data = ByteArray(header.sizeBytes)
        var offset = 0
        for (chunk in chunks) {
            chunk.copyInto(data, offset)
            offset += chunk.size
        }
        return Snapshot(header, data)
    }
}
