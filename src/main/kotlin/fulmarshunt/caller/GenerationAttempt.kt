/*
 * One attempt to run a generation at a granted target. A stream that breaks or goes silent is resumed at the next
 * offset on a new connection. After repeated resumes without a token, the engine is asked whether it still has the
 * generation: at a full engine a generation may wait for long, and a crashed engine does not respond.
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
internal const val MAX_RESUMES_WITHOUT_TOKEN: Int = 3

/** The delay between resumes without a token, so that a reset of all connections at once is not taken for a crash. */
private const val RESUME_PAUSE_MS = 200L

/** A generation without a token for this long counts as lost, even if its engine lists it. */
private const val MAX_STALL_MS = 60_000L

/** Runs [request] at the target of [grant]. */
internal class GenerationAttempt(
    private val dependencies: GenerationDependencies,
    private val request: GenerationRequest,
    private val grant: PlacedGrant,
    private val relay: TokenRelay,
) {
    private val ticket = grant.request.ticket
    private val address = grant.granted.address
    private val schedule = ProgressSchedule(grant.receivedAtMs)
    private var lastTokenMs = grant.receivedAtMs

    /** Returns how the attempt ended, and reports it to the owner of the pool and, if needed, to the engine. */
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
            report(outcome)
        }
    }

    private fun report(outcome: TicketOutcome) {
        if (outcome == TicketOutcome.FINISHED || outcome == TicketOutcome.REFUSED) {
            return dependencies.admissions.end(grant, relay.nextOffset, outcome)
        }
        if (outcome == TicketOutcome.GONE) {
            // The owner keeps the placement until it is certain that the generation has ended.
            dependencies.admissions.end(grant, relay.nextOffset, outcome)
            dependencies.traffic.launch { retryWithBackoff { dependencies.engine.cancel(address, ticket) } }
            return
        }
        // The engine is told first, so that the slot is not granted again while the generation still uses it.
        dependencies.traffic.launch {
            val isCancelled = dependencies.engine.cancel(address, ticket)
            dependencies.admissions.end(grant, relay.nextOffset, outcome)
            if (!isCancelled) retryWithBackoff { dependencies.engine.cancel(address, ticket) }
        }
    }

    private suspend fun streamWithResumes(): StreamEnd {
        var end = dependencies.engine.start(address, generation(), ::onToken)
        var resumesWithoutToken = 0
        while (end is StreamEnd.Broken) {
            if (resumesWithoutToken >= MAX_RESUMES_WITHOUT_TOKEN) {
                val generations = dependencies.engine.list(address) ?: return StreamEnd.Gone
                val isStalled = dependencies.clock.nowMs() - lastTokenMs > MAX_STALL_MS
                if (isStalled || ticket !in generations) return end
                resumesWithoutToken = 0
            }
            if (resumesWithoutToken > 0) delay(RESUME_PAUSE_MS)
            val before = relay.nextOffset
            dependencies.meters.resume()
            end = resumeOnce()
            if (relay.nextOffset > before) resumesWithoutToken = 0 else resumesWithoutToken++
        }
        return end
    }

    private suspend fun resumeOnce(): StreamEnd =
        when (val end = dependencies.engine.resume(address, ticket, relay.nextOffset, ::onToken)) {
            // A refused connection on a resume means that the engine is gone, not that the request did not run.
            is StreamEnd.Refused -> StreamEnd.Gone
            else -> end
        }

    private suspend fun onToken(token: EngineToken) {
        if (!relay.accept(token)) return
        val nowMs = dependencies.clock.nowMs()
        if (token.offset == 0) {
            dependencies.meters.firstTokenMs(nowMs - grant.receivedAtMs)
        } else {
            dependencies.meters.betweenTokensMs(nowMs - lastTokenMs)
        }
        lastTokenMs = nowMs
        schedule.onToken(nowMs)?.let {
            dependencies.admissions.progress(grant, it.tokens, it.firstTokenMs, it.betweenTokensMs)
        }
    }

    private fun generation(): EngineGeneration = EngineGeneration(
        ticket = ticket,
        service = request.service,
        messages = request.messages,
        maxTokens = grant.granted.maxOutputTokens,
        priority = grant.granted.priority,
        fence = grant.granted.fence,
        entryVm = dependencies.vm,
    )
}
