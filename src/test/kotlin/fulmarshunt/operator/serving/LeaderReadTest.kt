/*
 * What a read of the state at the leader brings to the control VM that was called.
 */
package fulmarshunt.operator.serving

import arrow.core.left
import arrow.core.right
import fulmarshunt.Address
import fulmarshunt.ConfigurationVersion
import fulmarshunt.FailureDomainId
import fulmarshunt.LogIndex
import fulmarshunt.Term
import fulmarshunt.faults.SlowLink
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.linkCbor
import fulmarshunt.link.linksOf
import fulmarshunt.monotonicClock
import fulmarshunt.voter.Leadership
import fulmarshunt.voter.LogAccess
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.random.Random

private const val BITS_PER_S = 1_000_000_000L
private const val DOCUMENT_BYTES = 200_000L

class LeaderReadTest {
    private val link = SlowLink(BITS_PER_S)
    private val clock = monotonicClock()
    private val leaderMachine = ServingStateMachine()
    private val leader = access(leaderMachine, Leadership(Term(1), true, null))
    private val leaderLinks = linksOf("leader", "secret-of-the-test", leader.handlers(LinkHandlers()))
    private val address = link.to(runBlocking { checkNotNull(leaderLinks.listen(Address("127.0.0.1", 0)).getOrNull()) })
    private val machine = ServingStateMachine()
    private val access = access(machine, Leadership(Term(1), false, address))
    private val links = linksOf("follower", "secret-of-the-test", LinkHandlers())
    private val document = ConfigurationDocument(ConfigurationVersion(1), Random(1).nextBytes(DOCUMENT_BYTES.toInt()))

    @AfterEach
    fun close() {
        links.close()
        leaderLinks.close()
        link.close()
    }

    private fun access(machine: ServingStateMachine, leadership: Leadership): ServingStateAccess {
        val log = LogAccess(
            propose = { command, _ -> machine.asReplicated.apply(LogIndex(2), command).right() },
            confirmLeadership = { true },
            holdsQuorum = { true },
            leadership = MutableStateFlow(leadership),
            addVoter = { _, _, _, _ -> Unit.right() },
            removeVoter = { _, _ -> "the voter does not exist".left() },
            status = { emptyList() },
        )
        return ServingStateAccess(log, machine, clock, Address("own", 1))
    }

    private fun ServingStateMachine.hold(document: ConfigurationDocument) = asReplicated.apply(
        LogIndex(1),
        linkCbor.encodeToByteArray(ServingCommand.serializer(), ServingCommand.Replace(document)),
    )

    /** Guards against an evacuation that costs as many bytes between control VMs as a configuration. */
    @Test
    fun `a drain does not bring the document`(): Unit = runBlocking {
        leaderMachine.hold(document)
        val caller = OrderCaller(clock.nowMs()) { true }
        val outcome = access.setDrained(FailureDomainId("z"), isDrained = true, caller, links)
        expectThat(outcome.result).isEqualTo(Unit.right())
        expectThat(leaderMachine.snapshots.value.drained).isEqualTo(setOf(FailureDomainId("z")))
        expectThat(link.arrivedBytes.get()).isLessThan(DOCUMENT_BYTES / 10)
    }

    /** Guards against a read that is slow and dear because it brings what the control VM has. */
    @Test
    fun `a read brings the document only if the control VM does not have it`(): Unit = runBlocking {
        leaderMachine.hold(document)
        machine.hold(ConfigurationDocument(ConfigurationVersion(0), ByteArray(10)))
        val read = access.read(links).getOrNull()?.document
        expectThat(read?.bytes?.contentEquals(document.bytes)).isEqualTo(true)
        val before = link.arrivedBytes.get()
        expectThat(before).isGreaterThan(DOCUMENT_BYTES)
        machine.hold(document)
        val known = access.read(links).getOrNull()?.document
        expectThat(known?.bytes?.contentEquals(document.bytes)).isEqualTo(true)
        expectThat(link.arrivedBytes.get() - before).isLessThan(DOCUMENT_BYTES / 10)
    }
}
