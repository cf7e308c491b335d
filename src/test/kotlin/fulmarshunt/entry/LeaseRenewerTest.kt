/*
 * Entry VMs, operator commands and claims with control services on loopback links.
 */
package fulmarshunt.entry

import fulmarshunt.Address
import fulmarshunt.ClientAccountId
import fulmarshunt.CommandId
import fulmarshunt.FailureDomainId
import fulmarshunt.Fingerprint
import fulmarshunt.IdempotencyKey
import fulmarshunt.LogIndex
import fulmarshunt.Revision
import fulmarshunt.TicketId
import fulmarshunt.VmId
import fulmarshunt.caller.ClaimKey
import fulmarshunt.caller.ClaimUndecided
import fulmarshunt.caller.Claimed
import fulmarshunt.caller.RecordClaim
import fulmarshunt.caller.controlClientOf
import fulmarshunt.monotonicClock
import fulmarshunt.operator.CallDone
import fulmarshunt.operator.CommandAccepted
import fulmarshunt.operator.FailureDomain
import fulmarshunt.operator.OperatorCommand
import fulmarshunt.operator.PutFailureDomain
import fulmarshunt.operator.ShutDownVm
import fulmarshunt.operator.SubmitCommand
import fulmarshunt.process.Secret
import fulmarshunt.voter.LeaderCallResult
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.nio.file.Path

class LeaseRenewerTest {
    private fun submit(id: String, revision: Long, domain: String) = SubmitCommand(
        ADMIN,
        Secret(ADMIN_KEY),
        OperatorCommand(
            CommandId(id),
            ADMIN,
            Revision(revision),
            listOf(PutFailureDomain(FailureDomain(FailureDomainId(domain)))),
        ),
        waitInEffectMs = 5_000,
    )

    /** Guards against changes that reach entry VMs only in part, and against a revision that decreases at a restart. */
    @Test
    fun `entry VMs follow commands across a change of leader`(@TempDir directory: Path): Unit = runBlocking {
        ControlCluster(3).use { cluster ->
            cluster.elect(0)
            val renewers = listOf("a", "b").map { cluster.entryVm(it, "suva") }
            val stored = cluster.entryVm("c", "lautoka", stateStoreIn(directory))
            val client = cluster.operator()
            // A VM that knows the registry holds a lease; a command is in effect only once the VM has applied it.
            withTimeout(10_000) {
                (renewers + stored).forEach { renewer -> renewer.state.first { it.entryVms.size == 3 } }
            }
            val first = client(submit("one", 1, "suva")).getOrNull()
            expectThat(first).isA<CommandAccepted>().get { isInEffect }.isTrue()
            expectThat((renewers + stored).map { it.state.value.configuration.revision }.distinct())
                .isEqualTo(listOf(Revision(2)))
            cluster.elect(1)
            // The new leader recognises a command that is sent again after an election.
            expectThat(client(submit("one", 1, "suva")).getOrNull()).isEqualTo(first)
            expectThat(client(submit("two", 2, "lautoka")).getOrNull()).isA<CommandAccepted>()
                .get { isInEffect }.isTrue()
            withTimeout(15_000) { renewers[0].state.first { it.pools.size == 2 } }
            expectThat(stateStoreIn(directory).load().getOrNull()?.configuration?.revision).isEqualTo(Revision(3))
        }
    }

    /** Guards against an entry VM without a lease after a new leader has refused it before it was confirmed. */
    @Test
    fun `an entry VM that asked before the leader was confirmed gets its lease`(): Unit = runBlocking {
        ControlCluster(1).use { cluster ->
            val clock = monotonicClock()
            cluster.voters[0].isConfirmed = false
            cluster.elect(0)
            val renewer = cluster.entryVm("a", "suva")
            val vm = EntryVm(VmId("b"), Address("127.0.0.1", 1), FailureDomainId("suva"))
            val renewal = RenewLease(vm, LogIndex(0))
            val result =
                cluster.client("early").retryUntilReplied(leaseChannel, renewal, 10_000, redirect = { null })
            expectThat(result).isEqualTo(LeaderCallResult.Replied(LeaseNotLeader()))
            delay(500)
            expectThat(renewer.hasLease(clock.nowMs())).isFalse()
            cluster.voters[0].isConfirmed = true
            withTimeout(10_000) { while (!renewer.hasLease(clock.nowMs())) delay(10) }
        }
    }

    /** Guards against a shutdown request that does not reach the VM, or after which the VM is or becomes registered. */
    @Test
    fun `a requested shutdown is reported and the lease released`(): Unit = runBlocking {
        ControlCluster(1).use { cluster ->
            cluster.elect(0)
            val renewer = cluster.entryVm("a", "suva")
            val client = cluster.operator()
            withTimeout(10_000) { renewer.state.first { it.entryVms.size == 1 } }
            expectThat(client(ShutDownVm(ADMIN, Secret(ADMIN_KEY), VmId("a"))).getOrNull()).isEqualTo(CallDone)
            withTimeout(10_000) { renewer.shutdownRequested.first { it } }
            renewer.reportShutdown(emptyList())
            expectThat(renewer.release(5_000)).isTrue()
            val vm = EntryVm(VmId("a"), Address("127.0.0.1", 1), FailureDomainId("suva"))
            val late = RenewLease(vm, LogIndex(0), isShuttingDown = true)
            val result = cluster.client("late").tryOnce(leaseChannel, late, 2_000, redirect = { null })
            expectThat(result).isEqualTo(LeaderCallResult.Replied(LeaseNotLeader()))
            expectThat(cluster.voters[0].machine.state.value.shared.entryVms.size).isEqualTo(0)
        }
    }

    /** Guards against a claim that is treated as granted although its commit is not known. */
    @Test
    fun `a claim is undecided until a leader confirms it`(): Unit = runBlocking {
        ControlCluster(2).use { cluster ->
            cluster.elect(0)
            val client = controlClientOf(cluster.client("entry"))
            val key = ClaimKey(ClientAccountId("acme"), IdempotencyKey("k"))
            val call =
                RecordClaim(key, Fingerprint("f"), VmId("a"), TicketId("t"))
            cluster.voters[0].losesReplies = true
            expectThat(client.claim(call, 500)).isEqualTo(ClaimUndecided)
            cluster.elect(1)
            expectThat(client.claim(call, 5_000)).isEqualTo(Claimed)
        }
    }
}
