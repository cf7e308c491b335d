/*
 * Logs and snapshots that were written before orders for failure domains had a condition.
 */
package fulmarshunt.operator.serving

import fulmarshunt.ContentDigest
import fulmarshunt.FailureDomainId
import fulmarshunt.LogIndex
import fulmarshunt.link.decodeFromPeer
import fulmarshunt.link.linkCbor
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class ServingUpgradeTest {
    @Serializable
    private sealed interface FormerCommand {
        @Serializable
        @SerialName("d")
        data class SetDrained(val domain: FailureDomainId, val isDrained: Boolean) : FormerCommand
    }

    @Serializable
    private data class FormerSnapshot(val revision: LogIndex, val drained: Set<FailureDomainId>)

    private val zone = FailureDomainId("z")

    private fun apply(machine: ServingStateMachine, index: Long, command: ServingCommand) =
        machine.asReplicated.apply(LogIndex(index), linkCbor.encodeToByteArray(ServingCommand.serializer(), command))

    /** Guards against a control VM that cannot read its disk after an upgrade. */
    @Test
    fun `logs and snapshots without conditions are read`() {
        val machine = ServingStateMachine()
        val snapshot = FormerSnapshot(LogIndex(4), setOf(zone))
        machine.asReplicated.restore(
            LogIndex(4),
            linkCbor.encodeToByteArray(FormerSnapshot.serializer(), snapshot),
        )
        expectThat(machine.snapshots.value).isEqualTo(ServingSnapshot(LogIndex(4), drained = setOf(zone)))
        val command = linkCbor.encodeToByteArray(
            FormerCommand.serializer(),
            FormerCommand.SetDrained(zone, isDrained = false),
        )
        machine.asReplicated.apply(LogIndex(5), command)
        expectThat(machine.snapshots.value.drained).isEqualTo(emptySet())
        expectThat(machine.snapshots.value.lastOrderFor(zone)).isEqualTo(LogIndex(0))
    }

    /** Guards against control VMs that decide differently on the next order after an upgrade. */
    @Test
    fun `a log and a snapshot of an older version give equal states`() {
        val command = linkCbor.encodeToByteArray(
            FormerCommand.serializer(),
            FormerCommand.SetDrained(zone, isDrained = true),
        )
        val replayed = ServingStateMachine().also { it.asReplicated.apply(LogIndex(7), command) }
        val restored = ServingStateMachine()
        restored.asReplicated.restore(
            LogIndex(7),
            linkCbor.encodeToByteArray(FormerSnapshot.serializer(), FormerSnapshot(LogIndex(7), setOf(zone))),
        )
        expectThat(replayed.snapshots.value).isEqualTo(restored.snapshots.value)
    }

    /** Guards against a restart after which an old order undoes a newer one. */
    @Test
    fun `a snapshot keeps the condition of orders`() {
        val machine = ServingStateMachine()
        apply(machine, 1, ServingCommand.SetDrained(zone, isDrained = true, LogIndex(0)))
        apply(machine, 2, ServingCommand.SetDrained(zone, isDrained = true, LogIndex(1)))
        val restarted = ServingStateMachine()
        restarted.asReplicated.restore(LogIndex(2), machine.asReplicated.snapshot().invoke())
        val result = apply(restarted, 3, ServingCommand.SetDrained(zone, isDrained = false, LogIndex(1)))
        expectThat(result.size).isEqualTo(1)
        expectThat(restarted.snapshots.value).isEqualTo(machine.snapshots.value)
    }

    @Serializable
    private sealed interface FormerCall {
        @Serializable
        @SerialName("r")
        data object Read : FormerCall
    }

    /** Guards against orders that fail while control VMs of two versions run side by side. */
    @Test
    fun `leaders and followers of the version before understand each other`() {
        val read = LeaderCall.Read(isDocumentNeeded = false, known = ContentDigest("d"))
        val sent = linkCbor.encodeToByteArray(LeaderCall.serializer(), read)
        expectThat(decodeFromPeer(FormerCall.serializer(), sent)).isEqualTo(FormerCall.Read)
        val former = linkCbor.encodeToByteArray(FormerCall.serializer(), FormerCall.Read)
        expectThat(decodeFromPeer(LeaderCall.serializer(), former)).isEqualTo(LeaderCall.Read())
    }
}
