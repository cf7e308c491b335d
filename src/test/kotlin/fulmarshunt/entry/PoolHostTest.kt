/*
 * Hosting of pools when leases expire, assignments change and callers disconnect.
 */
package fulmarshunt.entry

import fulmarshunt.Address
import fulmarshunt.FencingNumber
import fulmarshunt.PoolId
import fulmarshunt.ServiceId
import fulmarshunt.TargetId
import fulmarshunt.VmId
import fulmarshunt.monotonicClock
import fulmarshunt.process.startControlThread
import fulmarshunt.target.EngineLoad
import fulmarshunt.target.IssueLoad
import fulmarshunt.target.SendAdmissionReply
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

class PoolHostTest {
    private val pool = PoolId("suva/0")
    private val vm = VmId("entry-1")
    private val control = startControlThread()
    private val ended = mutableListOf<TicketOutcome>()
    private var hasLease = true
    private var grantsAtOnce = true
    private val sentLoads = Channel<IssueLoad>(Channel.UNLIMITED)
    private val load = EngineLoad(ServiceId("letters"), null, FencingNumber(1))
        .let { IssueLoad(TargetId("e1"), Address("127.0.0.1", 1), it, isRepeat = false) }

    private val host = PoolHost(
        vm = vm,
        clock = monotonicClock(),
        control = control,
        traffic = CoroutineScope(Dispatchers.Default),
        hasLease = { hasLease },
        createPool = { _, _, _ ->
            HostedPool(
                announce = { _, _ -> emptyList() },
                admit = { request, _ ->
                    if (grantsAtOnce) listOf(SendAdmissionReply(request.ticket, granted())) else emptyList()
                },
                withdraw = { _, _ -> emptyList() },
                progress = { _, _ -> listOf(load) },
                end = { _, _, outcome, _ -> emptyList<SendAdmissionReply>().also { ended += outcome } },
                reregister = { _, _, _ -> emptyList() },
                vmLost = { _, _ -> emptyList() },
                configure = { _, _ -> emptyList() },
                tick = { emptyList() },
                nextTickMs = { null },
                view = { error("no view") },
            )
        },
        actions = PoolHostActions({ _, _ -> true }, { emptyMap() }, { true }, { sentLoads.send(it) }),
    )

    private fun state(index: Long, owner: VmId): SharedState = SharedState(
        pools = mapOf(pool to PoolOwner(owner, FencingNumber(index))),
    )

    @AfterEach
    fun stop(): Unit = control.close()

    /** Guards against two owners that grant placements at the same target. */
    @Test
    fun `nothing is granted without an assignment or a lease`(): Unit = runBlocking {
        suspend fun admit() = host.handle(Admit(pool, admissionRequest()))
        val notOwner = Rejected(RejectReason.NOT_OWNER, 100)
        expectThat(admit()).isEqualTo(notOwner)
        control.run { host.apply(state(1, vm)) }
        expectThat(admit()).isEqualTo(granted())
        hasLease = false
        expectThat(admit()).isEqualTo(notOwner)
    }

    /** Guards against load orders to engines by a former owner. */
    @Test
    fun `a load order is sent only with a lease`(): Unit = runBlocking {
        val report = Progress(pool, admissionRequest().ticket, 1)
        control.run { host.apply(state(1, vm)) }
        hasLease = false
        host.handle(report)
        hasLease = true
        host.handle(report)
        withTimeout(5_000) { expectThat(sentLoads.receive()).isEqualTo(load) }
        expectThat(sentLoads.tryReceive().isFailure).isTrue()
    }

    /** Guards against requests that wait in the queue of a former owner. */
    @Test
    fun `waiting requests are rejected when the pool gets another owner`(): Unit = runBlocking {
        grantsAtOnce = false
        control.run { host.apply(state(1, vm)) }
        val reply = async(Dispatchers.Default) { host.handle(Admit(pool, admissionRequest())) }
        withTimeout(5_000) {
            delay(100)
            control.run { host.apply(state(2, VmId("entry-2"))) }
            expectThat(reply.await()).isEqualTo(Rejected(RejectReason.NOT_OWNER, 100))
        }
    }

    /** Guards against a placement that stays occupied because a withdrawal arrived before its request. */
    @Test
    fun `a withdrawal that overtakes its request still counts`(): Unit = runBlocking {
        control.run { host.apply(state(1, vm)) }
        host.handle(Withdraw(pool, admissionRequest().ticket))
        val reply = host.handle(Admit(pool, admissionRequest()))
        expectThat((reply as Rejected).reason).isEqualTo(RejectReason.LEAVING)
        expectThat(ended).isEqualTo(mutableListOf(TicketOutcome.UNUSED))
    }
}
