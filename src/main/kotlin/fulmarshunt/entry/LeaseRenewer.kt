/*
 * The entry VM's side of the lease: renews it with the control leader, applies the state changes from renewals and
 * pushes in log order, and decides whether the VM may start new work.
 */
package fulmarshunt.entry

import arrow.core.Either
import fulmarshunt.Clock
import fulmarshunt.PoolId
import fulmarshunt.Term
import fulmarshunt.link.LinkHandlers
import fulmarshunt.process.ControlThread
import fulmarshunt.voter.LeaderCallResult
import fulmarshunt.voter.LeaderCalls
import fulmarshunt.voter.Redirect
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager

/** The timeout of a renewal: three voters can be tried before the lease of [LEASE_MS] expires. */
internal const val RENEWAL_TIMEOUT_MS: Long = 700

/** The pause after a renewal that failed. */
private const val RENEWAL_RETRY_MS = 50L

/** Renews the lease of [vm] and keeps its copy of the shared state up to date. */
public class LeaseRenewer internal constructor(
    private val vm: EntryVm,
    private val leader: LeaderCalls,
    private val control: ControlThread,
    private val clock: Clock,
    private val store: StateStore?,
    initial: SharedState,
) {
    private val logger = LogManager.getLogger(LeaseRenewer::class.java)
    private val published = MutableStateFlow(initial)
    private val isShutdownRequested = MutableStateFlow(false)
    private val applying = Mutex()
    private val renewNow = Channel<Unit>(Channel.CONFLATED)
    private var term = Term(0)
    private var job: Job? = null

    @Volatile
    private var leaseUntilMs = Long.MIN_VALUE

    @Volatile
    private var released = emptyList<PoolId>()

    @Volatile
    private var isShuttingDown = false

    /** The latest applied state. */
    public val state: StateFlow<SharedState> = published.asStateFlow()

    /** True once an operator has requested a graceful shutdown of this VM. */
    public val shutdownRequested: StateFlow<Boolean> = isShutdownRequested.asStateFlow()

    /** Returns whether this VM holds a lease at [nowMs] of its monotonic clock. */
    public fun hasLease(nowMs: Long): Boolean = nowMs < leaseUntilMs

    /** The time of the monotonic clock at which the lease expires unless it is renewed. */
    public val leaseEndsMs: Long get() = leaseUntilMs

    /** Returns [base] with the handler of [stateChannel]. */
    public fun handlers(base: LinkHandlers): LinkHandlers = base.with(stateChannel) { _, push -> receive(push) }

    /** Applies a push. Use it instead of [handlers] if the links must be created before the lease renewer. */
    public suspend fun receive(push: StatePush): StatePushReply {
        applyChanges(null, push.changes)
        return StatePushReply(published.value.index)
    }

    /** Starts renewing the lease until [release] or until the control thread is closed. */
    public fun start() {
        job = control.scope.launch { while (true) renew() }
    }

    /**
     * Sends a renewal at once, which reports to the control leader that this VM is shutting down and has stopped
     * admission to [pools].
     */
    public fun reportShutdown(pools: List<PoolId>) {
        released = pools
        isShuttingDown = true
        renewNow.trySend(Unit)
    }

    /** Stops renewing, releases the lease and returns whether the leader confirmed the release within [timeoutMs]. */
    public suspend fun release(timeoutMs: Long): Boolean {
        job?.cancel()
        job?.join()
        leaseUntilMs = Long.MIN_VALUE
        val result =
            leader.retryUntilReplied<LeaseCall, LeaseReply>(
                leaseChannel,
                ReleaseLease(vm),
                timeoutMs,
                redirect = ::redirect,
            )
        return result is LeaderCallResult.Replied && result.reply == LeaseReleased
    }

    private suspend fun renew() {
        val sentAtMs = clock.nowMs()
        val call = RenewLease(vm, published.value.index, released, isShuttingDown)
        val result =
            leader.tryOnce<LeaseCall, LeaseReply>(leaseChannel, call, RENEWAL_TIMEOUT_MS, redirect = ::redirect)
        val isRenewed =
            when (result) {
                is LeaderCallResult.Replied -> accept(sentAtMs, result.reply)
                is LeaderCallResult.NotExecuted -> false.also {
                    logger.debug("The lease was not renewed: {}", result.reason)
                }
                is LeaderCallResult.MaybeExecuted -> false.also {
                    logger.debug("The lease was not renewed: {}", result.reason)
                }
            }
        val pauseMs = if (isRenewed) LEASE_RENEWAL_MS - (clock.nowMs() - sentAtMs) else RENEWAL_RETRY_MS
        if (pauseMs > 0) withTimeoutOrNull(pauseMs) { renewNow.receive() }
    }

    private suspend fun accept(sentAtMs: Long, reply: LeaseReply): Boolean {
        if (reply !is LeaseGranted) return false
        if (reply.term < term) {
            logger.warn("Ignoring a lease of term {} in term {}", reply.term, term)
            return false
        }
        term = reply.term
        if (!applyChanges(reply.snapshot, reply.changes)) return false
        leaseUntilMs = maxOf(leaseUntilMs, sentAtMs + LEASE_MS)
        if (reply.shutdownRequested) isShutdownRequested.value = true
        return true
    }

    /** Applies the changes that are new and returns whether the state is now as new as the leader's. */
    private suspend fun applyChanges(snapshot: SharedState?, changes: List<IndexedChanges>): Boolean =
        applying.withLock {
            val current = published.value
            if (snapshot != null && snapshot.index < current.index) {
                logger.error("Control sent a snapshot of entry {} after entry {}", snapshot.index, current.index)
                return false
            }
            val base = snapshot ?: current
            val next = changes.filter { it.index > base.index }.fold(base) { state, indexed -> state.with(indexed) }
            if (next.index == current.index) return true
            if (store != null) {
                withContext(Dispatchers.IO) { store.save(next) }.onLeft {
                    logger.error("The lease was not renewed: {}", it)
                    return false
                }
            }
            published.value = next
            return true
        }

    private fun redirect(reply: LeaseReply): Redirect? = (reply as? LeaseNotLeader)?.let { Redirect(it.leader) }
}

/**
 * Creates the lease renewer of [vm], which starts from the state in [store], if one is given.
 *
 * @return the lease renewer, or the reason why the stored state cannot be used.
 */
public fun leaseRenewerOf(
    vm: EntryVm,
    leader: LeaderCalls,
    control: ControlThread,
    clock: Clock,
    store: StateStore? = null,
): Either<String, LeaseRenewer> = (store?.load?.invoke() ?: Either.Right(SharedState()))
    .map { LeaseRenewer(vm, leader, control, clock, store, it) }
