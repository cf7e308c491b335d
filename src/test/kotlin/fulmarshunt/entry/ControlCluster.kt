/*
 * A cluster of control voters with an in-memory log and loopback links, for tests of its clients.
 */
package fulmarshunt.entry

import fulmarshunt.Address
import fulmarshunt.FailureDomainId
import fulmarshunt.OperatorId
import fulmarshunt.VmId
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.Links
import fulmarshunt.link.linksOf
import fulmarshunt.monotonicClock
import fulmarshunt.operator.OperatorTransport
import fulmarshunt.operator.operatorClient
import fulmarshunt.process.ControlThread
import fulmarshunt.process.startControlThread
import fulmarshunt.sha256Hex
import fulmarshunt.voter.AddFirstOperator
import fulmarshunt.voter.LeaderCallResult
import fulmarshunt.voter.LeaderCalls
import fulmarshunt.voter.MemoryLog
import fulmarshunt.voter.Redirect
import fulmarshunt.voter.controlServiceOf
import fulmarshunt.voter.leaderCallsOf
import fulmarshunt.wallClock
import kotlinx.coroutines.runBlocking

const val ADMIN_KEY = "admin-key"
val ADMIN = OperatorId("admin")

class ControlCluster(voterCount: Int) : AutoCloseable {
    private val log = MemoryLog()
    private val resources = mutableListOf<AutoCloseable>()
    val voters: List<MemoryLog.Voter> = List(voterCount) { log.voter(track(startControlThread())) }
    val addresses: List<Address> =
        voters.mapIndexed { position, voter ->
            val first = AddFirstOperator(ADMIN, sha256Hex(ADMIN_KEY))
            val service =
                controlServiceOf(voter.control, voter.machine, voter.access, first, monotonicClock(), wallClock())
            val links = links("control-$position", service.handlers(LinkHandlers()))
            service.start()
            runBlocking { links.listen(Address("127.0.0.1", 0)) }.getOrNull()!!
        }

    /** Makes the voter at [position] the leader, without waiting until it serves calls. */
    fun elect(position: Int): Unit = log.elect(voters[position], addresses[position])

    /** Waits until the leader serves lease calls; it refuses them until its leadership is confirmed. */
    suspend fun awaitLeases() {
        val unregistered = EntryVm(VmId("unregistered"), Address("127.0.0.1", 1), FailureDomainId("suva"))
        val result =
            client("probe").retryUntilReplied(leaseChannel, ReleaseLease(unregistered), 10_000) { reply ->
                (reply as? LeaseNotLeader)?.let { Redirect(it.leader) }
            }
        check(result == LeaderCallResult.Replied(LeaseReleased)) { "no leader serves lease calls: $result" }
    }

    fun client(name: String): LeaderCalls = leaderCallsOf(links(name, LinkHandlers()), addresses)

    fun operator(): OperatorTransport = operatorClient(links("operator", LinkHandlers()), addresses, monotonicClock())

    /** Starts the lease renewer of an entry VM that stores its state in [store]. */
    fun entryVm(name: String, domain: String, store: StateStore? = null): LeaseRenewer {
        val handler = LateBoundHandler()
        val links = links(name, LinkHandlers().with(stateChannel) { peer, push -> handler.receive(peer.process, push) })
        val vm = EntryVm(VmId(name), Address("127.0.0.1", 1), FailureDomainId(domain))
        val control = track(startControlThread())
        val renewer = leaseRenewerOf(
            vm,
            leaderCallsOf(links, addresses),
            control,
            monotonicClock(),
            store,
        ).getOrNull()!!
        handler.renewer = renewer
        renewer.start()
        return renewer
    }

    override fun close(): Unit = resources.asReversed().forEach { it.close() }

    private fun links(name: String, handlers: LinkHandlers): Links = track(linksOf(name, "secret", handlers))

    private fun <T : AutoCloseable> track(closeable: T): T = closeable.also { resources += it }

    /** Links are created with their handlers, but the lease renewer that handles pushes is created with the links. */
    private class LateBoundHandler {
        @Volatile
        var renewer: LeaseRenewer? = null

        suspend fun receive(peer: String, push: StatePush): StatePushReply =
            checkNotNull(renewer) { "a push from $peer arrived before the start" }.receive(push)
    }
}
