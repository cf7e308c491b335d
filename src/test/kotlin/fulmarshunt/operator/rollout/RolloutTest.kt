/*
 * The state of roll-outs in the replicated log, and the steps of their owner when leaders are lost between them.
 */
package fulmarshunt.operator.rollout

import arrow.core.left
import arrow.core.right
import fulmarshunt.ConfigurationVersion
import fulmarshunt.LogIndex
import fulmarshunt.ServiceId
import fulmarshunt.SoftwareVersion
import fulmarshunt.TargetId
import fulmarshunt.VmId
import fulmarshunt.clockOf
import fulmarshunt.link.linkCbor
import fulmarshunt.operator.serving.CommandResult
import fulmarshunt.operator.serving.ConfigurationDocument
import fulmarshunt.operator.serving.ServingCommand
import fulmarshunt.operator.serving.ServingStateMachine
import fulmarshunt.target.rollout.EvidenceCell
import fulmarshunt.target.rollout.EvidenceCounts
import fulmarshunt.target.rollout.EvidenceKey
import fulmarshunt.target.rollout.EvidenceReport
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

private const val DURATION_MS = 12_000L

class RolloutTest {
    private val service = ServiceId("desk")
    private val machine = ServingStateMachine()
    private var index = 0L

    private fun order(target: String) = RolloutOrder(service, SoftwareVersion(target), DURATION_MS)

    private fun apply(command: ServingCommand, at: ServingStateMachine = machine): List<Byte> {
        index += 1
        val bytes = linkCbor.encodeToByteArray(ServingCommand.serializer(), command)
        return at.asReplicated.apply(LogIndex(index), bytes).toList()
    }

    private fun start(target: String, basedOn: Long = 0) =
        apply(ServingCommand.StartRollout(order(target), LogIndex(basedOn), 0))

    private fun advance(orderIndex: Long, phase: RolloutPhase) =
        apply(ServingCommand.AdvanceRollout(service, LogIndex(orderIndex), phase))

    private val current get() = machine.snapshots.value.rollouts.getValue(service)

    private fun roles(vararg versions: String) = versions.map { current.roleOf(SoftwareVersion(it)) }

    /** Guards against an order that starts a roll-out anew when it is sent again, and against two at once. */
    @Test
    fun `an order that is repeated changes nothing, and another one is refused while it runs`() {
        expectThat(start("v2")).isEqualTo(emptyList())
        expectThat(start("v2")).isEqualTo(emptyList())
        expectThat(start("v3", basedOn = 1)).containsExactly(CommandResult.IN_PROGRESS)
        advance(1, RolloutPhase.ROLLED_BACK)
        expectThat(start("v2")).isEqualTo(emptyList())
        expectThat(current.phase).isEqualTo(RolloutPhase.ROLLED_BACK)
        expectThat(current.orderIndex).isEqualTo(LogIndex(1))
    }

    /** Guards against an old order that is committed late and undoes a newer one that was acknowledged. */
    @Test
    fun `an order that is older than the last one has no effect`() {
        start("v2")
        advance(1, RolloutPhase.ROLLED_BACK)
        start("v3", basedOn = 1)
        advance(3, RolloutPhase.ROLLED_BACK)
        expectThat(start("v4", basedOn = 1)).containsExactly(CommandResult.SUPERSEDED)
        expectThat(current.order.target.value).isEqualTo("v3")
    }

    /** Guards against a state that goes back, by a leader that was frozen between two steps. */
    @Test
    fun `an ended roll-out never changes, and a step belongs to one order`() {
        start("v2")
        advance(1, RolloutPhase.COMPLETED)
        expectThat(current.phase).isEqualTo(RolloutPhase.RUNNING)
        advance(1, RolloutPhase.MOVING)
        advance(1, RolloutPhase.COMPLETED)
        advance(1, RolloutPhase.ROLLED_BACK)
        expectThat(current.phase).isEqualTo(RolloutPhase.COMPLETED)
        start("v3", basedOn = 1)
        advance(1, RolloutPhase.ROLLED_BACK)
        expectThat(current.phase).isEqualTo(RolloutPhase.RUNNING)
    }

    /** Guards against requests for versions that no order allows. */
    @Test
    fun `the versions that may get requests follow the orders`() {
        start("v2")
        expectThat(roles("v1", "v2")).containsExactly(VersionRole.PRESENT, VersionRole.TRIAL)
        advance(1, RolloutPhase.MOVING)
        expectThat(roles("v1", "v2")).containsExactly(VersionRole.NONE, VersionRole.PRESENT)
        advance(1, RolloutPhase.COMPLETED)
        expectThat(roles("v1", "v2", "v3"))
            .containsExactly(VersionRole.NONE, VersionRole.PRESENT, VersionRole.NONE)
        start("v3", basedOn = 1)
        advance(4, RolloutPhase.ROLLED_BACK)
        expectThat(roles("v1", "v2", "v3"))
            .containsExactly(VersionRole.NONE, VersionRole.PRESENT, VersionRole.NONE)
        start("v2", basedOn = 4)
        expectThat(current.phase).isEqualTo(RolloutPhase.COMPLETED)
    }

    /** Guards against an acknowledged order that a lost disk or a new configuration takes away. */
    @Test
    fun `a snapshot and a new configuration keep roll-outs`() {
        start("v2")
        apply(ServingCommand.Replace(ConfigurationDocument(ConfigurationVersion(9), ByteArray(3))))
        val restored = ServingStateMachine()
        restored.asReplicated.restore(LogIndex(index), machine.asReplicated.snapshot().invoke())
        expectThat(restored.snapshots.value.rollouts).isEqualTo(mapOf(service to current))
    }

    private inner class ControlVm(var isLeader: Boolean, var canCommit: Boolean = true) {
        val table = EvidenceTable()
        private val dependencies = RolloutOwnerDependencies(
            { machine.snapshots.value },
            { isLeader },
            { command -> if (canCommit) Unit.right().also { apply(command) } else "no quorum".left() },
            table,
            clockOf { nowMs },
            clockOf { nowMs },
        )
        val owner = RolloutOwner(dependencies)
    }

    private var nowMs = 0L

    private fun runUntil(untilMs: Long, vararg vms: ControlVm) = runBlocking {
        while (nowMs < untilMs) {
            nowMs += 200
            vms.forEach { it.owner.step() }
        }
    }

    private fun report(number: Long, trial: EvidenceCounts): EvidenceReport {
        val key = EvidenceKey(service, LogIndex(1), "r", null)
        val present = EvidenceCounts(answers = mapOf(3 to 400))
        return EvidenceReport(
            VmId("e"),
            "source",
            number,
            listOf(EvidenceCell(key, present), EvidenceCell(key.copy(trialTarget = TargetId("t")), trial)),
        )
    }

    private val good = EvidenceCounts(answers = mapOf(3 to 40))
    private val bad = EvidenceCounts(answers = mapOf(3 to 20), errors = 20)

    /** Guards against a roll-out that nobody ends once the leader that judged it is gone. */
    @Test
    fun `another leader goes on between any two steps`() {
        for (lostAtMs in listOf(1_000L, 8_800L, 9_200L, 10_000L)) {
            nowMs = 0
            index = 0
            machine.asReplicated.restore(LogIndex(0), ServingStateMachine().asReplicated.snapshot().invoke())
            start("v2")
            val first = ControlVm(isLeader = true)
            val second = ControlVm(isLeader = false)
            listOf(first, second).forEach { it.table.receive(report(1, good), isDirect = false) }
            runUntil(lostAtMs, first, second)
            first.canCommit = false
            second.isLeader = true
            runUntil(DURATION_MS, first, second)
            expectThat(current.phase).isEqualTo(RolloutPhase.COMPLETED)
        }
    }

    /** Guards against bad versions that stay after their evidence is there, and against good ones without evidence. */
    @Test
    fun `a bad version is rolled back at the next judgement, and one without evidence at the deadline`() {
        start("v2")
        val owner = ControlVm(isLeader = true)
        owner.table.receive(report(1, good), isDirect = true)
        runUntil(3_000, owner)
        expectThat(current.phase).isEqualTo(RolloutPhase.RUNNING)
        owner.table.receive(report(2, bad), isDirect = true)
        runUntil(3_400, owner)
        expectThat(current.phase).isEqualTo(RolloutPhase.ROLLED_BACK)
        start("v3", basedOn = 1)
        runUntil(3_400 + DURATION_MS, owner)
        expectThat(current.phase).isEqualTo(RolloutPhase.ROLLED_BACK)
        expectThat(current.order.target.value).isEqualTo("v3")
    }
}
