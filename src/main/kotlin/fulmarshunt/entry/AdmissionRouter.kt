/*
 * Finds a place for a request: asks the owners of the pools in order and keeps the owners informed about what runs.
 * Runs on traffic threads and reads snapshots of the shared state only.
 */
package fulmarshunt.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import fulmarshunt.Address
import fulmarshunt.Clock
import fulmarshunt.FailureDomainId
import fulmarshunt.PoolId
import fulmarshunt.TicketId
import fulmarshunt.VmId
import fulmarshunt.link.LinkFailure
import fulmarshunt.process.retryWithBackoff
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap

/** How long a pool may keep a request waiting before another pool is asked. */
private const val SPILL_WAIT_MS = 250L

/** The time on top of the permitted wait after which an owner that does not answer counts as lost. */
private const val REPLY_MARGIN_MS = 1_000L

/** A pool in which an attempt was lost knows within this time whether its target is alive. */
private const val FATE_WAIT_MS = 7_000L

private const val REPORT_TIMEOUT_MS = 2_000L

/** Waiting for a change of the state ends after this time even if none comes. */
private const val STATE_WAIT_MS = 200L

/** A new owner hears of its targets within two announcement periods; until then it knows none. */
private const val ANNOUNCEMENT_WAIT_MS = 2_000L

/** Calls the owner at an address, with a limit for the whole call. */
public typealias CallOwner = suspend (Address, AdmissionCall, Long) -> Either<LinkFailure, AdmissionReply>

/** Finds places and reports their use. */
public class AdmissionRouter(
    private val vm: VmId,
    private val domain: FailureDomainId,
    private val clock: Clock,
    private val state: StateFlow<SharedState>,
    private val hasLease: (Long) -> Boolean,
    private val callLocal: suspend (AdmissionCall) -> AdmissionReply,
    private val callOwner: CallOwner,
    private val traffic: CoroutineScope,
) {
    private val observations = ConcurrentHashMap<PoolId, PoolObservation>()
    private val running = ConcurrentHashMap<TicketId, Running>()

    private class Running(val grant: PlacedGrant, @Volatile var tokens: Int = 0)

    /** The result of one call to a pool. */
    private sealed interface Asked {
        class Answer(val reply: AdmissionReply) : Asked

        data object NoOwner : Asked

        data object OwnerLost : Asked
    }

    /**
     * Waits for a place for [request], at most as long as the request allows.
     *
     * @return the grant, or why there is none; the request did not run in that case.
     */
    public suspend fun admit(request: AdmissionRequest): Either<Rejected, PlacedGrant> {
        val startMs = clock.nowMs()
        var isPatient = false
        var asked = 0
        val unsettled = request.lost.mapTo(HashSet()) { it.pool }
        var last = Rejected(RejectReason.NO_TARGET, STATE_WAIT_MS)
        while (true) {
            val snapshot = state.value
            val nowMs = clock.nowMs()
            if (!hasLease(nowMs)) return Rejected(RejectReason.LEAVING, LEASE_RENEWAL_MS).left()
            val order = snapshot.configuration.poolOrder(domain, request, observations, nowMs)
            val rejections = mutableListOf<Rejected>()
            // Another pool does not know the lost target and would place the request at once.
            val (first, others) = order.partition { it in unsettled }
            val candidates = first + if (isPatient) order.sortedBy { expectedWaitMs(it) }.take(1) + others else others
            for (pool in candidates.distinct()) {
                val waitedMs = clock.nowMs() - startMs
                val remainingMs = request.maxWaitMs - request.waitedMs - waitedMs
                if (remainingMs <= 0) return last.left()
                val patienceMs = when {
                    unsettled.remove(pool) -> FATE_WAIT_MS
                    !isPatient && order.size > 1 -> SPILL_WAIT_MS
                    else -> remainingMs
                }
                // Each question has a ticket of its own, so that a late withdrawal cannot hit the next question.
                val attempt =
                    request.copy(
                        ticket = TicketId("${request.ticket}.${++asked}"),
                        waitedMs = request.waitedMs + waitedMs,
                        maxWaitMs = request.waitedMs + waitedMs + minOf(patienceMs, remainingMs),
                    )
                when (val outcome = ask(snapshot, pool, attempt)) {
                    is Asked.NoOwner, is Asked.OwnerLost ->
                        rejections += Rejected(RejectReason.NOT_OWNER, STATE_WAIT_MS)
                    is Asked.Answer ->
                        when (val reply = outcome.reply) {
                            is Granted -> return PlacedGrant(pool, attempt, reply, clock.nowMs()).right()
                            is Rejected -> rejections += reply
                            is Noted -> error("a request for admission was answered like a report")
                        }
                }
            }
            last = mostHopeful(rejections) ?: last
            when {
                rejections.any { it.reason in TRANSIENT } -> awaitChange(snapshot)
                !isPatient && rejections.any { it.reason == RejectReason.OVERLOADED } -> isPatient = true
                last.reason == RejectReason.NO_TARGET && clock.nowMs() - startMs < ANNOUNCEMENT_WAIT_MS ->
                    awaitChange(snapshot)
                else -> return last.left()
            }
        }
    }

    /**
     * Returns null and registers the ticket as running if [grant] may be used now, otherwise gives the place back and
     * returns the reason.
     */
    public fun use(grant: PlacedGrant): String? {
        val ticket = grant.request.ticket
        running[ticket] = Running(grant)
        val nowMs = clock.nowMs()
        val obstacle = grant.obstacleOrNull(state.value, hasLease(nowMs), nowMs) ?: return null
        end(grant, 0, TicketOutcome.UNUSED)
        return obstacle
    }

    /** Tells the owner how far the generation of [grant] is. */
    public fun progress(grant: PlacedGrant, tokens: Int, firstTokenMs: Long, betweenTokensMs: Double) {
        running[grant.request.ticket]?.tokens = tokens
        val call = Progress(grant.pool, grant.request.ticket, tokens, firstTokenMs, betweenTokensMs)
        traffic.launch { send(call, REPORT_TIMEOUT_MS) }
    }

    /** Tells the owner, with retries, that [grant] is no longer used. */
    public fun end(grant: PlacedGrant, tokens: Int, outcome: TicketOutcome) {
        running.remove(grant.request.ticket)
        report(EndTicket(grant.pool, grant.request.ticket, tokens, outcome))
    }

    /** Registers running tickets again whenever one of their pools gets a new owner; returns only when cancelled. */
    public suspend fun followAssignments() {
        var seen = state.value.pools
        state.collect { current ->
            val changed = current.pools.filter { (pool, owner) -> seen[pool] != owner }.keys
            seen = current.pools
            changed.forEach { reregister(it) }
        }
    }

    /** Passes an announcement to the owner of the target's pool; null if the owner took it, else the reason. */
    public suspend fun announce(call: PassAnnouncement): String? = when (val reply = send(call, REPORT_TIMEOUT_MS)) {
        is Noted -> null
        is Rejected -> "the owner of pool ${call.pool} is changing"
        else -> "pool ${call.pool} has no reachable owner"
    }

    private fun reregister(pool: PoolId) {
        val tickets =
            running.values
                .filter { it.grant.pool == pool }
                .map {
                    RunningTicket(it.grant.request, it.grant.granted.target, it.grant.granted.incarnation, it.tokens)
                }
        if (tickets.isNotEmpty()) report(Reregister(pool, vm, tickets))
    }

    private fun report(call: AdmissionCall) {
        traffic.launch { retryWithBackoff { send(call, REPORT_TIMEOUT_MS) is Noted } }
    }

    private suspend fun send(call: AdmissionCall, timeoutMs: Long): AdmissionReply? {
        val snapshot = state.value
        val owner = snapshot.pools[call.pool] ?: return null
        if (owner.vm == vm) return withTimeoutOrNull(timeoutMs) { callLocal(call) }
        val address = snapshot.entryVms[owner.vm]?.address ?: return null
        val sentMs = clock.nowMs()
        val reply = callOwner(address, call, timeoutMs).getOrNull()
        if (reply != null && call !is Admit) {
            observations.compute(call.pool) { _, old ->
                (old ?: PoolObservation()).withRoundTrip(clock.nowMs() - sentMs)
            }
        }
        return reply
    }

    private suspend fun ask(snapshot: SharedState, pool: PoolId, request: AdmissionRequest): Asked {
        if (snapshot.pools[pool] == null) return Asked.NoOwner
        val sentMs = clock.nowMs()
        val call = Admit(pool, request)
        val reply =
            try {
                send(call, request.maxWaitMs - request.waitedMs + REPLY_MARGIN_MS)
            } catch (e: CancellationException) {
                report(Withdraw(pool, request.ticket))
                throw e
            }
        if (reply == null) {
            // The owner may have queued or granted the request; a later grant would hold a place that nobody uses.
            report(Withdraw(pool, request.ticket))
            return Asked.OwnerLost
        }
        val waitedMs = clock.nowMs() - sentMs
        if (reply is Granted || (reply is Rejected && reply.reason == RejectReason.OVERLOADED)) {
            observations.compute(pool) { _, old -> (old ?: PoolObservation()).withWait(waitedMs, clock.nowMs()) }
        }
        return Asked.Answer(reply)
    }

    private fun expectedWaitMs(pool: PoolId): Double = observations[pool]?.expectedWaitMs(clock.nowMs()) ?: 0.0

    private suspend fun awaitChange(snapshot: SharedState) {
        withTimeoutOrNull(STATE_WAIT_MS) { state.first { it.pools != snapshot.pools } }
    }

    private companion object {
        /** Reasons that end without a change of load, so that waiting is worthwhile. */
        val TRANSIENT = setOf(RejectReason.NOT_OWNER, RejectReason.SETTLING)

        fun mostHopeful(rejections: List<Rejected>): Rejected? = rejections.minByOrNull {
            when (it.reason) {
                RejectReason.OVERLOADED -> 0
                RejectReason.SETTLING -> 1
                RejectReason.NOT_OWNER -> 2
                RejectReason.LEAVING -> 3
                RejectReason.NO_TARGET -> 4
            }
        }
    }
}
