/*
 * The course of a generation through its attempts, with fakes for admission and engine.
 */
package fulmarshunt.caller

import arrow.core.left
import arrow.core.right
import fulmarshunt.ClientAccountId
import fulmarshunt.PoolId
import fulmarshunt.RequestId
import fulmarshunt.ServiceId
import fulmarshunt.TargetId
import fulmarshunt.VmId
import fulmarshunt.entry.AdmissionRequest
import fulmarshunt.entry.PlacedGrant
import fulmarshunt.entry.RejectReason
import fulmarshunt.entry.Rejected
import fulmarshunt.entry.SharedState
import fulmarshunt.entry.TicketOutcome
import fulmarshunt.entry.granted
import fulmarshunt.monotonicClock
import fulmarshunt.target.EngineClient
import fulmarshunt.target.EngineToken
import fulmarshunt.target.OrderReply
import fulmarshunt.target.StreamEnd
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.util.concurrent.CopyOnWriteArrayList
import kotlinx.coroutines.channels.Channel as Queue

private typealias Attempt = suspend (suspend (EngineToken) -> Unit) -> StreamEnd

class GenerationServiceTest {
    private val asked = CopyOnWriteArrayList<AdmissionRequest>()
    private val ended = Queue<TicketOutcome>(Queue.UNLIMITED)
    private val cancelled = Queue<String>(Queue.UNLIMITED)
    private var retriesLeft = 10

    private fun parts(
        obstacles: MutableList<String> = mutableListOf(),
        vararg attempts: Attempt,
    ): GenerationDependencies {
        val script = attempts.toMutableList()
        return GenerationDependencies(
            vm = VmId("entry-1"),
            clock = monotonicClock(),
            state = { SharedState() },
            gate = CallerGate({ null }, {}, { _, _, _ -> null }, { retriesLeft-- > 0 }, {}),
            admissions = Admissions(
                admit = { request ->
                    asked += request
                    val grant = granted().copy(target = TargetId("e${asked.size}"))
                    if (script.isEmpty()) {
                        Rejected(RejectReason.OVERLOADED, 1_000).left()
                    } else {
                        PlacedGrant(PoolId("suva/0"), request, grant, monotonicClock().nowMs()).right()
                    }
                },
                use = { obstacles.removeFirstOrNull() },
                progress = { _, _, _, _ -> },
                end = { _, _, outcome -> ended.trySend(outcome) },
            ),
            engine = EngineClient(
                start = { _, _, onToken -> script.removeFirst()(onToken) },
                resume = { _, _, _, _ -> StreamEnd.Gone },
                cancel = { _, ticket -> cancelled.trySend(ticket.value).isSuccess },
                list = { null },
                load = { _, _ -> OrderReply.NoReply },
            ),
            traffic = CoroutineScope(Dispatchers.Default),
        )
    }

    private fun request(isStreamed: Boolean) = GenerationRequest(
        id = RequestId("r"),
        account = ClientAccountId("a"),
        service = ServiceId("letters"),
        messages = listOf(ChatMessage("user", "x")),
        maxOutputTokens = 10,
        isStreamed = isStreamed,
    )

    private fun run(parts: GenerationDependencies, isStreamed: Boolean): List<GenerationEvent> = runBlocking {
        withTimeout(10_000) { generationService(parts)(request(isStreamed)).toList() }
    }

    private val diesAfterToken: Attempt = { onToken ->
        onToken(EngineToken(0, "old"))
        StreamEnd.Broken("gone")
    }
    private val refuses: Attempt = { StreamEnd.Refused("full") }
    private val answers: Attempt = { onToken ->
        onToken(EngineToken(0, "a"))
        onToken(EngineToken(0, "a"))
        onToken(EngineToken(1, "b"))
        StreamEnd.Finished(2, FinishReason.STOP)
    }

    /** Guards against tokens of two generations in one answer. */
    @Test
    fun `a buffered generation runs again elsewhere and answers with the second attempt only`() {
        val events = run(parts(mutableListOf(), diesAfterToken, answers), isStreamed = false)
        expectThat(events.filterIsInstance<GeneratedToken>().map { it.text }).isEqualTo(listOf("a", "b"))
        expectThat(events.last()).isA<GenerationCompleted>()
        expectThat(asked.last().excluded).isEqualTo(listOf(TargetId("e1")))
    }

    /** Guards against a stream that continues with tokens of another generation. */
    @Test
    fun `a streamed generation that lost its engine after a token fails`() {
        val events = run(parts(mutableListOf(), diesAfterToken, answers), isStreamed = true)
        expectThat(events).isEqualTo(
            listOf(
                GeneratedToken(0, "old"),
                GenerationFailed(
                    RequestProblem(
                        ProblemKind.GENERATION_LOST,
                        RunState.UNKNOWN,
                        "after 1 tokens the target was gone",
                    ),
                ),
            ),
        )
    }

    /** Guards against a death that the owner hears of late, and against a retry that hides the lost target from it. */
    @Test
    fun `an attempt whose target is gone is reported as such and named in the retry`(): Unit = runBlocking {
        run(parts(mutableListOf(), diesAfterToken, refuses, answers), isStreamed = false)
        expectThat(List(3) { withTimeout(5_000) { ended.receive() } })
            .isEqualTo(listOf(TicketOutcome.GONE, TicketOutcome.REFUSED, TicketOutcome.FINISHED))
        // A refused attempt did not run, so nothing about its target is open.
        expectThat(asked.last().lost.map { it.instance.target }).isEqualTo(listOf(TargetId("e1")))
        expectThat(asked.last().excluded).isEqualTo(listOf(TargetId("e1"), TargetId("e2")))
    }

    /** Guards against "not run" for a request whose earlier attempt may have run. */
    @Test
    fun `an unknown attempt is not forgotten when later ones are refused`() {
        fun stateAfter(vararg attempts: Attempt) =
            (run(parts(mutableListOf(), *attempts), isStreamed = false).last() as GenerationFailed).problem.ran
        expectThat(stateAfter(refuses, refuses, refuses)).isEqualTo(RunState.NOT_RUN)
        expectThat(stateAfter(diesAfterToken, refuses, refuses)).isEqualTo(RunState.UNKNOWN)
        expectThat(stateAfter(diesAfterToken)).isEqualTo(RunState.UNKNOWN)
    }

    /** Guards against retries without a budget and against grants that are used after they became invalid. */
    @Test
    fun `an unusable grant is replaced without a retry, a failed attempt is not`() {
        retriesLeft = 0
        val events = run(parts(mutableListOf("too old"), answers), isStreamed = true)
        expectThat(events.last()).isA<GenerationCompleted>()
        val failed = run(parts(mutableListOf(), refuses, answers), isStreamed = true)
        expectThat(failed.single()).isA<GenerationFailed>()
    }

    /** Guards against capacity that is spent on a generation whose caller has left. */
    @Test
    fun `a caller that leaves cancels at the engine and ends the ticket`(): Unit = runBlocking {
        val endless: Attempt = { onToken ->
            onToken(EngineToken(0, "a"))
            awaitCancellation()
        }
        generationService(parts(mutableListOf(), endless))(request(isStreamed = true)).first()
        withTimeout(5_000) {
            expectThat(cancelled.receive().startsWith("r.1")).isTrue()
            expectThat(ended.receive()).isEqualTo(TicketOutcome.CANCELLED)
        }
    }
}
