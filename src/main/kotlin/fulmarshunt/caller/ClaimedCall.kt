/*
 * A call that must run at most once. Its claim is committed before the call is sent, and is withdrawn only if certainly
 * no byte of the call reached a target. Once sent, the call is completed and its answer recorded even if the caller
 * leaves, so that a resend gets the answer.
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

/** How long the end of an answer waits for its record; the record is retried in the background after that. */
private const val RECORD_WAIT_MS = 1_000L

private const val CLAIM_RETRY_MS = 1_000L

/** Runs [request] at most once. */
internal class ClaimedCall(
    private val parts: PlainServiceDependencies,
    private val request: PlainRequest,
    private val emit: EmitPlain,
) {
    private val ticket = TicketId(request.id.value)

    suspend fun run(): PlainEvent {
        val key =
            request.key ?: return notRun(ProblemKind.MALFORMED, "this call needs the header Idempotency-Key")
        val claimKey = ClaimKey(request.account, key)
        var isSent = false
        var isOurs = true
        try {
            val reply = parts.claims(RecordClaim(claimKey, request.fingerprint, parts.vm, ticket))
            isOurs = reply !is AlreadyAnswered && reply !is AlreadyClaimed &&
                reply !is KeyReused && reply !is ClaimsFull
            return when (reply) {
                is Claimed -> runOnce(claimKey) { isSent = it }
                is AlreadyAnswered -> replay(reply.answer)
                is AlreadyClaimed ->
                    PlainFailed(
                        RequestProblem(ProblemKind.OUTCOME_UNKNOWN, RunState.UNKNOWN, "the call was sent before"),
                    )
                is KeyReused -> notRun(ProblemKind.KEY_REUSED, "key \"$key\" belongs to another call")
                else -> notRun(ProblemKind.UNAVAILABLE, "the call could not be claimed", CLAIM_RETRY_MS)
            }
        } finally {
            if (isOurs && !isSent) {
                parts.traffic.launch {
                    retryWithBackoff { parts.claims(WithdrawClaim(claimKey, ticket)) is ClaimRecorded }
                }
            }
        }
    }

    private suspend fun runOnce(key: ClaimKey, setSent: (Boolean) -> Unit): PlainEvent {
        val places = PlaceSearch(parts, request)
        while (true) {
            val grant = places.next().fold({ return PlainFailed(it) }, { it })
            setSent(true)
            val record = AnswerRecord(emit)
            val call =
                parts.traffic.async {
                    val end = parts.runAt(grant, request, record.receiver)
                    if (end is PlainOutcome.Completed) finish(key, record.answer())
                    end
                }
            val end = call.await()
            if (end is PlainOutcome.Completed) return PlainCompleted.also { parts.gate.reportSuccess(request.account) }
            if (end is PlainOutcome.Broken) return PlainFailed(end.toProblem())
            setSent(false)
            places.failed(grant, end.toProblem())
        }
    }

    private suspend fun finish(key: ClaimKey, answer: RecordedResponse) {
        val recording =
            parts.traffic.launch {
                retryWithBackoff { parts.claims(FinishClaim(key, ticket, answer)) is ClaimRecorded }
            }
        withTimeoutOrNull(RECORD_WAIT_MS) { recording.join() }
    }

    private suspend fun replay(answer: RecordedResponse): PlainEvent {
        val body =
            answer.body ?: return PlainFailed(
                RequestProblem(
                    ProblemKind.ANSWER_NOT_KEPT,
                    RunState.FINISHED,
                    "the answer had status ${answer.status}",
                ),
            )
        emit(PlainStarted(PlainResponseHead(answer.status, answer.contentType.ifEmpty { null })))
        emit(PlainBytes(body))
        return PlainCompleted
    }

    private fun notRun(kind: ProblemKind, detail: String, retryAfterMs: Long? = null): PlainFailed =
        PlainFailed(RequestProblem(kind, RunState.NOT_RUN, detail, retryAfterMs))
}

/** Keeps the answer for the record while it is passed on; goes on when the caller has left. */
private class AnswerRecord(private val emit: EmitPlain) {
    private var head = PlainResponseHead(0, null)
    private val body = ByteArrayOutputStream()
    private var isTooLarge = false
    private var isCallerGone = false

    val receiver =
        PlainResponseReceiver(
            onHead = {
                head = it
                pass(PlainStarted(it))
            },
            onBytes = { bytes ->
                if (body.size() + bytes.size > MAX_RECORDED_RESPONSE_BYTES) isTooLarge = true else body.write(bytes)
                pass(PlainBytes(bytes))
            },
        )

    fun answer(): RecordedResponse =
        RecordedResponse(head.status, head.contentType.orEmpty(), if (isTooLarge) null else body.toByteArray())

    private suspend fun pass(event: PlainEvent) {
        if (isCallerGone) return
        try {
            emit(event)
        } catch (e: CancellationException) {
            // The caller's flow is closed; the call itself runs on a scope that is not cancelled with it.
            isCallerGone = true
        }
    }
}
