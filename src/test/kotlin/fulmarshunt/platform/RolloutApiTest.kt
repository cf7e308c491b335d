/*
 * The calls of operators about roll-outs, over a log in memory.
 */
package fulmarshunt.platform

import arrow.core.left
import arrow.core.right
import fulmarshunt.Address
import fulmarshunt.LogIndex
import fulmarshunt.ServiceId
import fulmarshunt.Term
import fulmarshunt.clockOf
import fulmarshunt.http.HttpCall
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.linkCbor
import fulmarshunt.link.linksOf
import fulmarshunt.monotonicClock
import fulmarshunt.operator.rollout.RolloutPhase
import fulmarshunt.operator.serving.ServingCommand
import fulmarshunt.operator.serving.ServingStateAccess
import fulmarshunt.operator.serving.ServingStateMachine
import fulmarshunt.voter.Leadership
import fulmarshunt.voter.LogAccess
import fulmarshunt.voter.ProposeFailure
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

private const val OK = 200
private const val BAD_REQUEST = 400
private const val NOT_FOUND = 404
private const val CONFLICT = 409
private const val UNAVAILABLE = 503

class RolloutApiTest {
    private val own = Address("127.0.0.1", 1)
    private val links = linksOf("a", "secret-of-the-test", LinkHandlers())
    private val machine = ServingStateMachine()
    private var index = 0L
    private var hasQuorum = true

    private fun commit(bytes: ByteArray): ByteArray = machine.asReplicated.apply(LogIndex(++index), bytes)

    private val log = LogAccess(
        propose = { command, _ ->
            if (hasQuorum) commit(command).right() else ProposeFailure.Undecided("no quorum").left()
        },
        confirmLeadership = { hasQuorum },
        holdsQuorum = { hasQuorum },
        leadership = MutableStateFlow(Leadership(Term(1), true, own)),
        addVoter = { _, _, _, _ -> Unit.right() },
        removeVoter = { _, _ -> "the voter does not exist".left() },
        status = { emptyList() },
    )
    private val api =
        RolloutApi(ServingStateAccess(log, machine, monotonicClock(), own), links, clockOf { 1_796_000_000_000L })

    @AfterEach
    fun close() = links.close()

    private fun order(target: String) = """{"service":"desk","target":"$target","duration_s":12.5}"""

    private fun start(body: String, isConnected: Boolean = true): Int? = runBlocking {
        val call =
            HttpCall("POST", "/api/rollouts/start", body.encodeToByteArray(), isCallerConnected = { isConnected })
        api.handleOrNull(call)?.status
    }

    private fun state(service: String = "desk"): String? = runBlocking {
        val reply = api.handleOrNull(HttpCall("GET", "/api/rollouts/$service/get", ByteArray(0)))
        reply?.run { if (status == OK) body.decodeToString() else "$status" }
    }

    private fun advance(phase: RolloutPhase) {
        val command = ServingCommand.AdvanceRollout(ServiceId("desk"), LogIndex(1), phase)
        commit(linkCbor.encodeToByteArray(ServingCommand.serializer(), command))
    }

    /** Guards against orders that are refused when sent again, and against states that the platform does not know. */
    @Test
    fun `an order is acknowledged each time and its state read`() {
        expectThat(state()).isEqualTo("$NOT_FOUND")
        expectThat(start(order("v2"))).isEqualTo(OK)
        expectThat(start(order("v2"))).isEqualTo(OK)
        expectThat(start(order("v3"))).isEqualTo(CONFLICT)
        expectThat(state()).isEqualTo("""{"state":"running","target":"v2"}""")
        advance(RolloutPhase.MOVING)
        expectThat(state()).isEqualTo("""{"state":"running","target":"v2"}""")
        advance(RolloutPhase.COMPLETED)
        expectThat(state()).isEqualTo("""{"state":"completed","target":"v2"}""")
        expectThat(start(order("v2"))).isEqualTo(OK)
        expectThat(start(order("v3"))).isEqualTo(OK)
        expectThat(state()).isEqualTo("""{"state":"running","target":"v3"}""")
    }

    /** Guards against an acknowledgement, or a state, that a VM without a majority gives. */
    @Test
    fun `without a majority nothing is acknowledged or read`() {
        hasQuorum = false
        expectThat(start(order("v2"))).isEqualTo(UNAVAILABLE)
        expectThat(state()).isEqualTo("$UNAVAILABLE")
        hasQuorum = true
        expectThat(start(order("v2"), isConnected = false)).isEqualTo(UNAVAILABLE)
        expectThat(state()).isEqualTo("$NOT_FOUND")
    }

    /** Guards against odd orders that take effect. */
    @Test
    fun `odd orders are refused`() {
        val odd = listOf(
            "",
            "{}",
            """{"service":"desk","target":"v2"}""",
            """{"service":"desk","target":"","duration_s":1}""",
            """{"service":"desk","target":2,"duration_s":1}""",
            """{"service":"desk","target":"v2","duration_s":0}""",
            """{"service":"desk","target":"v2","duration_s":1e99}""",
            order("v".repeat(5_000)),
        )
        odd.forEach { expectThat(start(it)).describedAs(it.take(60)).isEqualTo(BAD_REQUEST) }
        expectThat(machine.snapshots.value.rollouts[ServiceId("desk")]).isNull()
    }
}
