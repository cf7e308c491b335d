/*
 * A call that must run at most once. Its claim is committed before the call is sent, and is withdrawn only if it is
 * certain that no byte of the call reached a target. Once sent, the call is completed and its response is recorded even
 * if the caller disconnects, so that a resend gets the response.
 */
package fulmarshunt.caller

import fulmarshunt.TicketId
import fulmarshunt.process.retryWithBackoff
import fulmarshunt.target.PlainOutcome
import fulmarshunt.target.PlainResponseHead
import fulmarshunt.target.PlainResponseReceiver
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream

/** How long the end of a response waits until the response is recorded; later retries run in the background. */
private const val RECORD_WAIT_MS = 1_000L

private const val CLAIM_RETRY_MS = 1_000L

/** Runs [request] at most once. */
internal class ClaimedCall(
    private val dependencies: PlainServiceDependencies,
    private val request: PlainRequest,
    private val response: OpenResponse<PlainEvent>,
) {
    private val ticket = TicketId(request.id.value)

    suspend fun run(): PlainEvent {
        val key =
            request.key ?: return notRun(ProblemKind.MALFORMED, "this call needs the header Idempotency-Key")
        val claimKey = ClaimKey(request.account, key)
        var isSent = false
        var mayHoldClaim = true
        try {
            val reply = dependencies.claims(RecordClaim(claimKey, request.fingerprint, dependencies.vm, ticket))
            mayHoldClaim = reply !is AlreadyAnswered && reply !is AlreadyClaimed &&
                reply !is KeyReused && reply !is ClaimsFull
            return when (reply) {
                is Claimed -> runOnce(claimKey) { isSent = it }
                is AlreadyAnswered -> replay(reply.response)
                is AlreadyClaimed ->
                    PlainFailed(
                        RequestProblem(ProblemKind.OUTCOME_UNKNOWN, RunState.UNKNOWN, "the call was sent before"),
                    )
                is KeyReused -> notRun(ProblemKind.KEY_REUSED, "key \"$key\" belongs to another call")
                else -> notRun(ProblemKind.UNAVAILABLE, "the call could not be claimed", CLAIM_RETRY_MS)
            }
        } finally {
            if (mayHoldClaim && !isSent) {
                dependencies.traffic.launch {
                    retryWithBackoff { dependencies.claims(WithdrawClaim(claimKey, ticket)) is ClaimRecorded }
                }
            }
        }
    }

    private suspend fun runOnce(key: ClaimKey, setSent: (Boolean) -> Unit): PlainEvent {
        val placements = PlacementSearch(dependencies, request, response)
        while (true) {
            val grant = placements.next().fold({ return PlainFailed(it) }, { it })
            setSent(true)
            val recorder = ResponseRecorder(response.emit)
            val call =
                dependencies.traffic.async {
                    val outcome = dependencies.runAt(grant, request, recorder.receiver)
                    if (outcome is PlainOutcome.Completed) finish(key, recorder.recordedResponse())
                    outcome
                }
            val outcome = call.await()
            if (outcome is PlainOutcome.Completed) {
                return PlainCompleted.also {
                    dependencies.gate.reportSuccess(request.account)
                }
            }
            if (outcome is PlainOutcome.Broken) return PlainFailed(outcome.toProblem())
            setSent(false)
            placements.recordFailure(grant, outcome.toProblem())
        }
    }

    private suspend fun finish(key: ClaimKey, response: RecordedResponse) {
        val recording =
            dependencies.traffic.launch {
                retryWithBackoff { dependencies.claims(FinishClaim(key, ticket, response)) is ClaimRecorded }
            }
        withTimeoutOrNull(RECORD_WAIT_MS) { recording.join() }
    }

    private suspend fun replay(recorded: RecordedResponse): PlainEvent {
        val body =
            recorded.body ?: return PlainFailed(
                RequestProblem(
                    ProblemKind.ANSWER_NOT_KEPT,
                    RunState.FINISHED,
                    "the response had status ${recorded.status}",
                ),
            )
        response.emit(PlainStarted(PlainResponseHead(recorded.status, recorded.contentType.ifEmpty { null })))
        response.emit(PlainBytes(body))
        return PlainCompleted
    }

    private fun notRun(kind: ProblemKind, detail: String, retryAfterMs: Long? = null): PlainFailed =
        PlainFailed(RequestProblem(kind, RunState.NOT_RUN, detail, retryAfterMs))
}

/** Records a response while it is forwarded; continues to record it after the caller has disconnected. */
private class ResponseRecorder(private val emit: EmitPlainEvent) {
    private var head = PlainResponseHead(0, null)
    private val body = ByteArrayOutputStream()
    private var isTooLarge = false
    private var hasCallerDisconnected = false

    val receiver =
        PlainResponseReceiver(
            onHead = {
                head = it
                forward(PlainStarted(it))
            },
            onBytes = { bytes ->
                if (body.size() + bytes.size > MAX_RECORDED_RESPONSE_BYTES) isTooLarge = true else body.write(bytes)
                forward(PlainBytes(bytes))
            },
        )

    fun recordedResponse(): RecordedResponse =
        RecordedResponse(head.status, head.contentType.orEmpty(), if (isTooLarge) null else body.toByteArray())

    private suspend fun forward(event: PlainEvent) {
        if (hasCallerDisconnected) return
        try {
            emit(event)
        } catch (e: CancellationException) {
            // The flow of the caller is closed; the call itself runs in a scope that is not cancelled with it.
            hasCallerDisconnected = true
        }
    }
}
