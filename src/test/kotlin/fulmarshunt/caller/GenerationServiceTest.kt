/*
 * A generation and its attempts, with fakes for admission and engine.
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
    private val admissionRequests = CopyOnWriteArrayList<AdmissionRequest>()
    private val ended = Queue<TicketOutcome>(Queue.UNLIMITED)
    private val cancelled = Queue<String>(Queue.UNLIMITED)
    private val gracefulStop = GracefulStop()
    private var remainingRetries = 10

    private fun dependencies(
        obstacles: MutableList<String> = mutableListOf(),
        vararg attempts: Attempt,
    ): GenerationDependencies {
        val script = attempts.toMutableList()
        return GenerationDependencies(
            vm = VmId("entry-1"),
            clock = monotonicClock(),
            state = { SharedState() },
            gate = CallerGate({ null }, {}, { _, _, _ -> null }, { remainingRetries-- > 0 }, {}),
            admissions = Admissions(
                admit = { request ->
                    admissionRequests += request
                    val grant = granted().copy(target = TargetId("e${admissionRequests.size}"))
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
            givenUp = gracefulStop.givenUp,
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

    private fun run(dependencies: GenerationDependencies, isStreamed: Boolean): List<GenerationEvent> = runBlocking {
        withTimeout(10_000) { generationService(dependencies)(request(isStreamed)).toList() }
    }

    private val crashesAfterToken: Attempt = { onToken ->
        onToken(EngineToken(0, "old"))
        StreamEnd.Broken("gone")
    }
    private val refuses: Attempt = { StreamEnd.Refused("full") }
    private val finishes: Attempt = { onToken ->
        onToken(EngineToken(0, "a"))
        onToken(EngineToken(0, "a"))
        onToken(EngineToken(1, "b"))
        StreamEnd.Finished(2, FinishReason.STOP)
    }

    /** Guards against tokens of two generations in one response. */
    @Test
    fun `a buffered generation runs again elsewhere and returns the second attempt only`() {
        val events = run(dependencies(mutableListOf(), crashesAfterToken, finishes), isStreamed = false)
        expectThat(events.filterIsInstance<GeneratedToken>().map { it.text }).isEqualTo(listOf("a", "b"))
        expectThat(events.last()).isA<GenerationCompleted>()
        expectThat(admissionRequests.last().excluded).isEqualTo(listOf(TargetId("e1")))
    }

    /** Guards against a stream that is cut off with its process and leaves the generation running at the engine. */
    @Test
    fun `a stream that is given up ends with a problem and its generation is cancelled`() {
        val streams: Attempt = { onToken ->
            onToken(EngineToken(0, "a"))
            gracefulStop.giveUpRequests()
            awaitCancellation()
        }
        val events = run(dependencies(mutableListOf(), streams), isStreamed = true)
        expectThat(events.first()).isEqualTo(GeneratedToken(0, "a"))
        expectThat(events.last()).isA<GenerationFailed>().get { problem }.and {
            get { kind }.isEqualTo(ProblemKind.GENERATION_LOST)
            get { ran }.isEqualTo(RunState.UNKNOWN)
        }
        runBlocking { withTimeout(10_000) { cancelled.receive() } }
    }

    /** Guards against a stream that continues with tokens of another generation. */
    @Test
    fun `a streamed generation that lost its engine after a token fails`() {
        val events = run(dependencies(mutableListOf(), crashesAfterToken, finishes), isStreamed = true)
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

    /** Guards against a crash that the owner learns of late, and against a retry that hides the lost target from it. */
    @Test
    fun `an attempt whose target is gone is reported as such and named in the retry`(): Unit = runBlocking {
        run(dependencies(mutableListOf(), crashesAfterToken, refuses, finishes), isStreamed = false)
        expectThat(List(3) { withTimeout(5_000) { ended.receive() } })
            .isEqualTo(listOf(TicketOutcome.GONE, TicketOutcome.REFUSED, TicketOutcome.FINISHED))
        // A refused attempt did not run, so its target is not reported as lost.
        expectThat(admissionRequests.last().lost.map { it.instance.target }).isEqualTo(listOf(TargetId("e1")))
        expectThat(admissionRequests.last().excluded).isEqualTo(listOf(TargetId("e1"), TargetId("e2")))
    }

    /** Guards against a request that is reported as not run although an earlier attempt may have run. */
    @Test
    fun `an unknown outcome is kept when later attempts are refused`() {
        fun stateAfter(vararg attempts: Attempt) =
            (run(dependencies(mutableListOf(), *attempts), isStreamed = false).last() as GenerationFailed).problem.ran
        expectThat(stateAfter(refuses, refuses, refuses)).isEqualTo(RunState.NOT_RUN)
        expectThat(stateAfter(crashesAfterToken, refuses, refuses)).isEqualTo(RunState.UNKNOWN)
        expectThat(stateAfter(crashesAfterToken)).isEqualTo(RunState.UNKNOWN)
    }

    /** Guards against retries without a budget and against grants that are used after they became invalid. */
    @Test
    fun `an unusable grant is replaced without a retry, a failed attempt is not`() {
        remainingRetries = 0
        val events = run(dependencies(mutableListOf("too old"), finishes), isStreamed = true)
        expectThat(events.last()).isA<GenerationCompleted>()
        val failed = run(dependencies(mutableListOf(), refuses, finishes), isStreamed = true)
        expectThat(failed.single()).isA<GenerationFailed>()
    }

    /** Guards against capacity that is spent on a generation whose caller has disconnected. */
    @Test
    fun `the disconnection of a caller cancels at the engine and ends the ticket`(): Unit = runBlocking {
        val endless: Attempt = { onToken ->
            onToken(EngineToken(0, "a"))
            awaitCancellation()
        }
        generationService(dependencies(mutableListOf(), endless))(request(isStreamed = true)).first()
        withTimeout(5_000) {
            expectThat(cancelled.receive().startsWith("r.1")).isTrue()
            expectThat(ended.receive()).isEqualTo(TicketOutcome.CANCELLED)
        }
    }
}
