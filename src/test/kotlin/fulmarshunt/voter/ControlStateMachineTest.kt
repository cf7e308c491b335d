/*
 * Replay, snapshots and the recent changes of the control state.
 */
package fulmarshunt.voter

import fulmarshunt.Address
import fulmarshunt.ClientAccountId
import fulmarshunt.CommandId
import fulmarshunt.FailureDomainId
import fulmarshunt.FencingNumber
import fulmarshunt.Fingerprint
import fulmarshunt.IdempotencyKey
import fulmarshunt.Incarnation
import fulmarshunt.LogIndex
import fulmarshunt.OperatorId
import fulmarshunt.PoolId
import fulmarshunt.Revision
import fulmarshunt.TargetId
import fulmarshunt.TicketId
import fulmarshunt.VmId
import fulmarshunt.caller.ClaimKey
import fulmarshunt.caller.FinishClaim
import fulmarshunt.caller.RecordClaim
import fulmarshunt.caller.RecordedResponse
import fulmarshunt.entry.EntryVm
import fulmarshunt.entry.MovePools
import fulmarshunt.entry.PoolMove
import fulmarshunt.entry.RegisterVm
import fulmarshunt.entry.ReportTargetCrash
import fulmarshunt.entry.with
import fulmarshunt.operator.ClientAccount
import fulmarshunt.operator.OperatorCommand
import fulmarshunt.operator.PutClientAccount
import fulmarshunt.operator.SubmittedCommand
import fulmarshunt.sha256Hex
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

private val admin = OperatorId("admin")
private val hash = sha256Hex("k")

/** Returns a command that adds the client account [number] to a configuration with revision [revision]. */
internal fun accountCommand(number: Int, revision: Long): LogCommand {
    val account = ClientAccount(ClientAccountId("account-$number"), sha256Hex("$number"))
    val command =
        OperatorCommand(CommandId("c$number"), admin, Revision(revision), listOf(PutClientAccount(account)))
    return ApplyCommand(SubmittedCommand(command, hash, "content-$number", 1_000L + number))
}

internal fun claimKey(number: Int) = ClaimKey(ClientAccountId("acme"), IdempotencyKey("key-$number"))

internal fun recordClaim(number: Int): LogCommand = ApplyClaim(
    RecordClaim(claimKey(number), Fingerprint("f$number"), VmId("vm"), TicketId("t$number")),
    10_000L + number,
)

internal fun firstOperator(): LogCommand = AddFirstOperator(admin, hash)

class ControlStateMachineTest {
    private fun entries(): List<List<LogCommand>> {
        val pool = PoolId("suva/0")
        val report =
            ReportTargetCrash(pool, FencingNumber(3), TargetId("t"), Incarnation(1), listOf(Fingerprint("p")))
        val vm = EntryVm(VmId("vm"), Address("127.0.0.1", 1), FailureDomainId("suva"))
        return listOf(
            listOf(firstOperator()),
            listOf(ApplyRegistry(RegisterVm(vm))),
            listOf(ApplyRegistry(MovePools(listOf(PoolMove(pool, vm.id, null))))),
            listOf(recordClaim(1), recordClaim(2)),
            listOf(
                ApplyClaim(
                    FinishClaim(claimKey(1), TicketId("t1"), RecordedResponse(201, "text/plain", byteArrayOf(1))),
                    20_000,
                ),
            ),
            listOf(ApplyCrash(report, 30_000)),
            listOf(ApplyCrash(report.copy(incarnation = Incarnation(2)), 31_000)),
            listOf(ApplyCrash(report.copy(fence = FencingNumber(2)), 32_000)),
        ) + (1..20).map { listOf(accountCommand(it, it.toLong())) } + listOf(listOf(Expire(40_000)))
    }

    private fun ControlStateMachine.run(entries: List<List<LogCommand>>, after: Int = 0) = entries.drop(after)
        .forEachIndexed { n, commands ->
            asReplicated.apply(LogIndex(after + n + 1L), encodeCommands(commands))
        }

    /** Guards against state that a snapshot loses, or that differs after a replay of the entries that follow it. */
    @Test
    fun `a snapshot and the entries after it give the same state as the complete log`() {
        val all = entries()
        val replayed = controlStateMachineOf().apply { run(all) }
        for (position in all.indices) {
            val first = controlStateMachineOf().apply { run(all.take(position)) }
            val restored = controlStateMachineOf()
            restored.asReplicated.restore(LogIndex(position.toLong()), first.asReplicated.snapshot()())
            restored.run(all, after = position)
            expectThat(
                restored.asReplicated.snapshot()().toList(),
            ).isEqualTo(replayed.asReplicated.snapshot()().toList())
        }
        expectThat(replayed.state.value.shared.quarantine[Fingerprint("p")]).isEqualTo(31_000L + 3_600_000L)
    }

    /** Guards against entry VMs that diverge from the voters when they catch up with changes. */
    @Test
    fun `changes transform any older state into the current one`() {
        val all = entries()
        val machine = controlStateMachineOf().apply { run(all) }
        val current = machine.state.value.shared
        for (position in all.indices) {
            val older = controlStateMachineOf().apply { run(all.take(position)) }.state.value.shared
            val changes = machine.changesAfterOrNull(older.index)
            expectThat(changes).isNotNull().get { fold(older) { state, next -> state.with(next) } }.isEqualTo(current)
        }
    }

    /** Guards against a list of changes that lacks those made before a snapshot was restored. */
    @Test
    fun `changes before a restored snapshot are unavailable`() {
        val source = controlStateMachineOf().apply { run(entries()) }
        val restored = controlStateMachineOf()
        restored.asReplicated.restore(LogIndex(100), source.asReplicated.snapshot()())
        expectThat(restored.changesAfterOrNull(LogIndex(5))).isNull()
        expectThat(restored.changesAfterOrNull(source.state.value.shared.index)).isEqualTo(emptyList())
    }
}
