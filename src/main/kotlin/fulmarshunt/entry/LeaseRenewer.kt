/*
 * The entry VM's side of the lease: renews it with the control leader, applies the changes that renewals and pushes
 * bring in log order, and says whether the VM may start new work.
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

/** How long a renewal may take; with the lease of 3 s, three voters can be tried before it runs out. */
internal const val RENEWAL_TIMEOUT_MS: Long = 700

/** The pause after a renewal that failed. */
private const val RENEWAL_RETRY_MS = 50L

/** Keeps the lease and the shared state of [vm]. */
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

    /** The last applied state. */
    public val state: StateFlow<SharedState> = published.asStateFlow()

    /** True once an operator has asked this VM for a graceful shutdown. */
    public val shutdownRequested: StateFlow<Boolean> = isShutdownRequested.asStateFlow()

    /** Returns whether this VM holds a lease at [nowMs] of its monotonic clock. */
    public fun hasLease(nowMs: Long): Boolean = nowMs < leaseUntilMs

    /** When the lease runs out unless it is renewed, by the monotonic clock. */
    public val leaseEndsMs: Long get() = leaseUntilMs

    /** Returns [base] with the handler of [stateChannel]. */
    public fun handlers(base: LinkHandlers): LinkHandlers = base.with(stateChannel) { _, push -> receive(push) }

    /** Applies a push; for processes that must build their links before the lease keeper. */
    public suspend fun receive(push: StatePush): StatePushReply {
        advance(null, push.changes)
        return StatePushReply(published.value.index)
    }

    /** Starts renewing the lease until [release] or until the control thread is closed. */
    public fun start() {
        job = control.scope.launch { while (true) renew() }
    }

    /** Tells control with the next renewal, sent at once, that this VM is shutting down and has stopped [pools]. */
    public fun reportShutdown(pools: List<PoolId>) {
        released = pools
        isShuttingDown = true
        renewNow.trySend(Unit)
    }

    /** Stops renewing and gives the lease back; returns whether control confirmed it within [timeoutMs]. */
    public suspend fun release(timeoutMs: Long): Boolean {
        job?.cancel()
        job?.join()
        leaseUntilMs = Long.MIN_VALUE
        val answer =
            leader.retryUntilReplied<LeaseCall, LeaseReply>(
                leaseChannel,
                ReleaseLease(vm),
                timeoutMs,
                redirect = ::redirect,
            )
        return answer is LeaderCallResult.Replied && answer.reply == LeaseReleased
    }

    private suspend fun renew() {
        val sentAtMs = clock.nowMs()
        val call = RenewLease(vm, published.value.index, released, isShuttingDown)
        val answer =
            leader.tryOnce<LeaseCall, LeaseReply>(leaseChannel, call, RENEWAL_TIMEOUT_MS, redirect = ::redirect)
        val isRenewed =
            when (answer) {
                is LeaderCallResult.Replied -> accept(sentAtMs, answer.reply)
                is LeaderCallResult.NotExecuted -> false.also { logger.debug("No lease: {}", answer.reason) }
                is LeaderCallResult.MaybeExecuted -> false.also { logger.debug("No lease: {}", answer.reason) }
            }
        val pauseMs = if (isRenewed) LEASE_RENEWAL_MS - (clock.nowMs() - sentAtMs) else RENEWAL_RETRY_MS
        if (pauseMs > 0) withTimeoutOrNull(pauseMs) { renewNow.receive() }
    }

    private suspend fun accept(sentAtMs: Long, reply: LeaseReply): Boolean {
        if (reply !is LeaseGranted) return false
        if (reply.term < term) {
            logger.warn("A lease of term {} is ignored in term {}", reply.term, term)
            return false
        }
        term = reply.term
        if (!advance(reply.snapshot, reply.changes)) return false
        leaseUntilMs = maxOf(leaseUntilMs, sentAtMs + LEASE_MS)
        if (reply.shutdownRequested) isShutdownRequested.value = true
        return true
    }

    /** Applies what is new and returns whether the state is that of the leader. */
    private suspend fun advance(snapshot: SharedState?, changes: List<IndexedChanges>): Boolean = applying.withLock {
        val current = published.value
        if (snapshot != null && snapshot.index < current.index) {
            logger.error("Control sent the state of entry {} after {}", snapshot.index, current.index)
            return false
        }
        val base = snapshot ?: current
        val next = changes.filter { it.index > base.index }.fold(base) { state, indexed -> state.with(indexed) }
        if (next.index == current.index) return true
        if (store != null) {
            withContext(Dispatchers.IO) { store.save(next) }.onLeft {
                logger.error("No lease, because {}", it)
                return false
            }
        }
        published.value = next
        return true
    }

    private fun redirect(reply: LeaseReply): Redirect? = (reply as? LeaseNotLeader)?.let { Redirect(it.leader) }
}

/**
 * Returns the lease keeper of [vm], which starts from the state in [store], if one is given.
 *
 * @return the lease keeper, or why the stored state cannot be used.
 */
public fun leaseRenewerOf(
    vm: EntryVm,
    leader: LeaderCalls,
    control: ControlThread,
    clock: Clock,
    store: StateStore? = null,
): Either<String, LeaseRenewer> = (store?.load?.invoke() ?: Either.Right(SharedState()))
    .map { LeaseRenewer(vm, leader, control, clock, store, it) }
