/*
 * Calls to the control leader, which is searched for among the configured addresses. An address that works is used
 * again, a redirect of a voter that does not lead is followed, and otherwise the next configured address is used.
 */
package fulmarshunt.voter

import arrow.core.Either
import fulmarshunt.Address
import fulmarshunt.link.Channel
import fulmarshunt.link.LinkFailure
import fulmarshunt.link.Links
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicReference

/** The pause after a failed attempt. */
private const val PAUSE_MS = 50L

/** A reply of a voter that does not lead, with the leader's address if it knows it. */
public data class Redirect(public val leader: Address?)

/** The result of one attempt to call the leader. */
public sealed interface LeaderCallResult<out R> {
    /** The leader's reply. */
    public data class Replied<R>(public val reply: R) : LeaderCallResult<R>

    /** The call was definitely not executed. */
    public data class NotExecuted(public val reason: String) : LeaderCallResult<Nothing>

    /** The call may have been executed. */
    public data class MaybeExecuted(public val reason: String) : LeaderCallResult<Nothing>
}

/** Calls the leader among the voters at [addresses]. */
public class LeaderCalls internal constructor(private val links: Links, private val addresses: List<Address>) {
    init {
        require(addresses.isNotEmpty()) { "no control address is configured" }
    }

    private val likelyLeader = AtomicReference(addresses.first())

    /**
     * Makes one attempt, at the address that is most likely the leader's.
     *
     * @param redirect returns the redirect in a reply, or null if the reply is the leader's.
     */
    public suspend fun <Q : Any, R : Any> tryOnce(
        channel: Channel<Q, R>,
        request: Q,
        timeoutMs: Long,
        redirect: (R) -> Redirect?,
    ): LeaderCallResult<R> {
        val address = likelyLeader.get()
        return when (val result = links.call(address, channel, request, timeoutMs)) {
            is Either.Left -> {
                selectNextAddress(address, null)
                val failure = result.value
                if (failure is LinkFailure.Lost) closeConnection(address, failure)
                if (failure is LinkFailure.NotSent) {
                    LeaderCallResult.NotExecuted(failure.reason)
                } else {
                    LeaderCallResult.MaybeExecuted(failure.reason)
                }
            }
            is Either.Right -> {
                val hint = redirect(result.value) ?: return LeaderCallResult.Replied(result.value)
                selectNextAddress(address, hint.leader)
                LeaderCallResult.NotExecuted("$address does not lead")
            }
        }
    }

    /**
     * Repeats [request] until the leader replies or [timeoutMs] have passed.
     *
     * @param retriesMaybeExecuted whether [request] is safe to repeat after an attempt that may have been executed.
     * @return the reply, or the last failure; it is [LeaderCallResult.MaybeExecuted] if that of any attempt was.
     */
    public suspend fun <Q : Any, R : Any> retryUntilReplied(
        channel: Channel<Q, R>,
        request: Q,
        timeoutMs: Long,
        attemptTimeoutMs: Long = timeoutMs,
        retriesMaybeExecuted: Boolean = true,
        redirect: (R) -> Redirect?,
    ): LeaderCallResult<R> {
        val endNanos = System.nanoTime() + timeoutMs * NANOS_PER_MS
        var maybeExecuted: LeaderCallResult.MaybeExecuted? = null
        while (true) {
            val remainingMs = (endNanos - System.nanoTime()) / NANOS_PER_MS
            val result = tryOnce(channel, request, minOf(attemptTimeoutMs, remainingMs.coerceAtLeast(1)), redirect)
            if (result is LeaderCallResult.Replied) return result
            if (result is LeaderCallResult.MaybeExecuted) maybeExecuted = result
            if (remainingMs <= PAUSE_MS ||
                (maybeExecuted != null && !retriesMaybeExecuted)
            ) {
                return maybeExecuted ?: result
            }
            delay(PAUSE_MS)
        }
    }

    private fun selectNextAddress(from: Address, hint: Address?) {
        val next = hint?.takeIf { it != from } ?: addresses[(addresses.indexOf(from) + 1) % addresses.size]
        likelyLeader.compareAndSet(from, next)
    }

    /** Closes a connection that gave no reply, because a new one may work when an established one hangs. */
    private fun closeConnection(address: Address, failure: LinkFailure.Lost) {
        links.openConnectionOrNull(address)?.close("no answer: ${failure.reason}")
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
    }
}

/** Returns calls to the leader among the voters at [addresses], over [links]. */
public fun leaderCallsOf(links: Links, addresses: List<Address>): LeaderCalls = LeaderCalls(links, addresses)
