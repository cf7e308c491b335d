/*
 * One attempt to run a generation at a granted target. A stream that breaks or goes silent is resumed at the next
 * offset on a new connection. After repeated resumes without a token, the engine is asked whether it still has the
 * generation: a full engine may let one wait for long, and a dead one does not answer.
 */
package fulmarshunt.caller

import fulmarshunt.entry.PlacedGrant
import fulmarshunt.entry.TicketOutcome
import fulmarshunt.process.retryWithBackoff
import fulmarshunt.target.EngineGeneration
import fulmarshunt.target.EngineToken
import fulmarshunt.target.StreamEnd
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** The number of times that a broken stream is resumed without a new token before its engine is asked. */
internal const val MAX_FRUITLESS_RESUMES: Int = 3

/** A pause between fruitless resumes, so that a reset of all connections at one moment is not taken for a death. */
private const val RESUME_PAUSE_MS = 200L

/** A generation without a token for this long counts as lost, even if its engine lists it. */
private const val MAX_STALL_MS = 60_000L

/** Runs the attempt for [grant]. */
internal class GenerationAttempt(
    private val parts: GenerationDependencies,
    private val request: GenerationRequest,
    private val grant: PlacedGrant,
    private val relay: TokenRelay,
) {
    private val ticket = grant.request.ticket
    private val address = grant.granted.address
    private val schedule = ProgressSchedule(grant.receivedAtMs)
    private var lastTokenMs = grant.receivedAtMs

    /** Returns how the attempt ended, after the owner of the pool and, if needed, the engine were told. */
    suspend fun run(): StreamEnd {
        var outcome = TicketOutcome.CANCELLED
        try {
            val end = streamWithResumes()
            outcome =
                when (end) {
                    is StreamEnd.Finished -> TicketOutcome.FINISHED
                    is StreamEnd.Refused -> TicketOutcome.REFUSED
                    is StreamEnd.Broken, is StreamEnd.NotFound -> TicketOutcome.LOST
                    is StreamEnd.Gone -> TicketOutcome.GONE
                }
            return end
        } finally {
            tell(outcome)
        }
    }

    private fun tell(outcome: TicketOutcome) {
        if (outcome == TicketOutcome.FINISHED || outcome == TicketOutcome.REFUSED) {
            return parts.admissions.end(grant, relay.next, outcome)
        }
        if (outcome == TicketOutcome.GONE) {
            // The owner keeps the place until the generation has ended one way or the other.
            parts.admissions.end(grant, relay.next, outcome)
            parts.traffic.launch { retryWithBackoff { parts.engine.cancel(address, ticket) } }
            return
        }
        // The engine is told first, so that the place is not granted again while the generation still uses it.
        parts.traffic.launch {
            val isCancelled = parts.engine.cancel(address, ticket)
            parts.admissions.end(grant, relay.next, outcome)
            if (!isCancelled) retryWithBackoff { parts.engine.cancel(address, ticket) }
        }
    }

    private suspend fun streamWithResumes(): StreamEnd {
        var end = parts.engine.start(address, generation(), ::onToken)
        var fruitless = 0
        while (end is StreamEnd.Broken) {
            if (fruitless >= MAX_FRUITLESS_RESUMES) {
                val generations = parts.engine.list(address) ?: return StreamEnd.Gone
                val isStalled = parts.clock.nowMs() - lastTokenMs > MAX_STALL_MS
                if (isStalled || ticket !in generations) return end
                fruitless = 0
            }
            if (fruitless > 0) delay(RESUME_PAUSE_MS)
            val before = relay.next
            parts.meters.resume()
            end = resumeOnce()
            if (relay.next > before) fruitless = 0 else fruitless++
        }
        return end
    }

    private suspend fun resumeOnce(): StreamEnd =
        when (val end = parts.engine.resume(address, ticket, relay.next, ::onToken)) {
            // A closed port on a resume says that the engine is gone, not that the request did not run.
            is StreamEnd.Refused -> StreamEnd.Gone
            else -> end
        }

    private suspend fun onToken(token: EngineToken) {
        if (!relay.accept(token)) return
        val nowMs = parts.clock.nowMs()
        if (token.offset == 0) {
            parts.meters.firstTokenMs(nowMs - grant.receivedAtMs)
        } else {
            parts.meters.betweenTokensMs(nowMs - lastTokenMs)
        }
        lastTokenMs = nowMs
        schedule.onToken(nowMs)?.let {
            parts.admissions.progress(grant, it.tokens, it.firstTokenMs, it.betweenTokensMs)
        }
    }

    private fun generation(): EngineGeneration = EngineGeneration(
        ticket = ticket,
        service = request.service,
        messages = request.messages,
        maxTokens = grant.granted.maxOutputTokens,
        priority = grant.granted.priority,
        fence = grant.granted.fence,
        entryVm = parts.vm,
    )
}
