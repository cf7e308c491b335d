/*
 * Finds a placement for a request: calls the owners of the pools in order and reports the running requests to them.
 * Runs on traffic threads and only reads snapshots of the shared state.
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

/** How long a request may wait in the queue of one pool before the next pool is tried. */
private const val SPILL_WAIT_MS = 250L

/** The time beyond the permitted wait after which an owner that has not replied is considered lost. */
private const val REPLY_MARGIN_MS = 1_000L

/** The time within which a pool knows whether the target of a lost attempt is still running. */
private const val LOST_ATTEMPT_WAIT_MS = 7_000L

private const val REPORT_TIMEOUT_MS = 2_000L

/** The maximum wait for a change of the shared state. */
private const val STATE_WAIT_MS = 200L

/** A new owner knows no targets at first; it receives their announcements within two announcement periods. */
private const val ANNOUNCEMENT_WAIT_MS = 2_000L

/** Calls the owner at an address with a timeout in milliseconds for the complete call. */
public typealias CallOwner = suspend (Address, AdmissionCall, Long) -> Either<LinkFailure, AdmissionReply>

/** Requests placements from the owners of pools and reports their use. */
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

    /** The result of one admission call to a pool. */
    private sealed interface PoolCallResult {
        class Replied(val reply: AdmissionReply) : PoolCallResult

        data object NoOwner : PoolCallResult

        data object OwnerLost : PoolCallResult
    }

    /**
     * Waits for a placement for [request], at most as long as the request allows.
     *
     * @return the grant, or the reason why there is none; in that case the request did not run.
     */
    public suspend fun admit(request: AdmissionRequest): Either<Rejected, PlacedGrant> {
        val startMs = clock.nowMs()
        var waitsFullTime = false
        var calls = 0
        val poolsWithLostAttempt = request.lost.mapTo(HashSet()) { it.pool }
        var lastRejection = Rejected(RejectReason.NO_TARGET, STATE_WAIT_MS)
        while (true) {
            val snapshot = state.value
            val nowMs = clock.nowMs()
            if (!hasLease(nowMs)) return Rejected(RejectReason.LEAVING, LEASE_RENEWAL_MS).left()
            val order = snapshot.configuration.poolOrder(domain, request, observations, nowMs)
            val rejections = mutableListOf<Rejected>()
            // Another pool does not know the target of the lost attempt and would place the request at once.
            val (first, others) = order.partition { it in poolsWithLostAttempt }
            val candidates =
                first + if (waitsFullTime) order.sortedBy { expectedWaitMs(it) }.take(1) + others else others
            for (pool in candidates.distinct()) {
                val waitedMs = clock.nowMs() - startMs
                val remainingMs = request.maxWaitMs - request.waitedMs - waitedMs
                if (remainingMs <= 0) return lastRejection.left()
                val poolWaitMs = when {
                    poolsWithLostAttempt.remove(pool) -> LOST_ATTEMPT_WAIT_MS
                    !waitsFullTime && order.size > 1 -> SPILL_WAIT_MS
                    else -> remainingMs
                }
                // Each call has its own ticket, so that a late withdrawal cannot affect the next call.
                val attempt =
                    request.copy(
                        ticket = TicketId("${request.ticket}.${++calls}"),
                        waitedMs = request.waitedMs + waitedMs,
                        maxWaitMs = request.waitedMs + waitedMs + minOf(poolWaitMs, remainingMs),
                    )
                when (val result = callPool(snapshot, pool, attempt)) {
                    is PoolCallResult.NoOwner, is PoolCallResult.OwnerLost ->
                        rejections += Rejected(RejectReason.NOT_OWNER, STATE_WAIT_MS)
                    is PoolCallResult.Replied ->
                        when (val reply = result.reply) {
                            is Granted -> return PlacedGrant(pool, attempt, reply, clock.nowMs()).right()
                            is Rejected -> rejections += reply
                            is ReportAccepted -> error("the reply to a request for admission accepts a report")
                        }
                }
            }
            lastRejection = mostPromisingOrNull(rejections) ?: lastRejection
            when {
                rejections.any { it.reason in TRANSIENT_REASONS } -> awaitChange(snapshot)
                !waitsFullTime && rejections.any { it.reason == RejectReason.OVERLOADED } -> waitsFullTime = true
                lastRejection.reason == RejectReason.NO_TARGET && clock.nowMs() - startMs < ANNOUNCEMENT_WAIT_MS ->
                    awaitChange(snapshot)
                else -> return lastRejection.left()
            }
        }
    }

    /**
     * Returns null and registers the ticket as running if [grant] may be used now; otherwise ends the ticket as unused
     * and returns the reason.
     */
    public fun use(grant: PlacedGrant): String? {
        val ticket = grant.request.ticket
        running[ticket] = Running(grant)
        val nowMs = clock.nowMs()
        val reason = grant.invalidReasonOrNull(state.value, hasLease(nowMs), nowMs) ?: return null
        end(grant, 0, TicketOutcome.UNUSED)
        return reason
    }

    /** Reports the progress of the generation of [grant] to the owner. */
    public fun progress(grant: PlacedGrant, tokens: Int, firstTokenMs: Long, betweenTokensMs: Double) {
        running[grant.request.ticket]?.tokens = tokens
        val call = Progress(grant.pool, grant.request.ticket, tokens, firstTokenMs, betweenTokensMs)
        traffic.launch { send(call, REPORT_TIMEOUT_MS) }
    }

    /** Reports to the owner, with retries, that [grant] is no longer in use. */
    public fun end(grant: PlacedGrant, tokens: Int, outcome: TicketOutcome) {
        running.remove(grant.request.ticket)
        report(EndTicket(grant.pool, grant.request.ticket, tokens, outcome))
    }

    /** Registers the running tickets of a pool again whenever the pool gets a new owner; runs until it is cancelled. */
    public suspend fun followAssignments() {
        var previous = state.value.pools
        state.collect { current ->
            val changed = current.pools.filter { (pool, owner) -> previous[pool] != owner }.keys
            previous = current.pools
            changed.forEach { reregister(it) }
        }
    }

    /** Forwards an announcement to the owner of the target's pool and returns null, or the reason for a failure. */
    public suspend fun announce(call: ForwardAnnouncement): String? = when (val reply = send(call, REPORT_TIMEOUT_MS)) {
        is ReportAccepted -> null
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
        traffic.launch { retryWithBackoff { send(call, REPORT_TIMEOUT_MS) is ReportAccepted } }
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

    private suspend fun callPool(snapshot: SharedState, pool: PoolId, request: AdmissionRequest): PoolCallResult {
        if (snapshot.pools[pool] == null) return PoolCallResult.NoOwner
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
            // The owner may have queued or granted the request; a later grant would hold a placement that is not used.
            report(Withdraw(pool, request.ticket))
            return PoolCallResult.OwnerLost
        }
        val waitedMs = clock.nowMs() - sentMs
        if (reply is Granted || (reply is Rejected && reply.reason == RejectReason.OVERLOADED)) {
            observations.compute(pool) { _, old -> (old ?: PoolObservation()).withWait(waitedMs, clock.nowMs()) }
        }
        return PoolCallResult.Replied(reply)
    }

    private fun expectedWaitMs(pool: PoolId): Double = observations[pool]?.expectedWaitMs(clock.nowMs()) ?: 0.0

    private suspend fun awaitChange(snapshot: SharedState) {
        withTimeoutOrNull(STATE_WAIT_MS) { state.first { it.pools != snapshot.pools } }
    }

    private companion object {
        /** Reasons that pass without a change of the load, so that it is useful to wait. */
        val TRANSIENT_REASONS = setOf(RejectReason.NOT_OWNER, RejectReason.SETTLING)

        fun mostPromisingOrNull(rejections: List<Rejected>): Rejected? = rejections.minByOrNull {
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
