/*
 * Finds the control leader among the configured addresses. It stays with an address that works, follows the hints of
 * voters that do not lead, and goes on to the next configured address otherwise.
 */
package fulmarshunt.voter

import arrow.core.Either
import fulmarshunt.Address
import fulmarshunt.link.Channel
import fulmarshunt.link.LinkFailure
import fulmarshunt.link.Links
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicReference

/** The pause after a try that failed. */
private const val PAUSE_MS = 50L

/** A reply of a voter that does not lead, with the leader's address if it knows it. */
public data class Redirect(public val leader: Address?)

/** One try to reach the leader. */
public sealed interface LeaderCallResult<out R> {
    /** The leader's reply. */
    public data class Replied<R>(public val reply: R) : LeaderCallResult<R>

    /** The call was certainly not carried out. */
    public data class NotExecuted(public val reason: String) : LeaderCallResult<Nothing>

    /** The call may have been carried out. */
    public data class MaybeExecuted(public val reason: String) : LeaderCallResult<Nothing>
}

/** Calls the leader among the voters at [addresses]. */
public class LeaderCalls internal constructor(private val links: Links, private val addresses: List<Address>) {
    init {
        require(addresses.isNotEmpty()) { "no control address is configured" }
    }

    private val guess = AtomicReference(addresses.first())

    /**
     * Tries the address that is most likely the leader's, once.
     *
     * @param redirect returns the redirect that a reply stands for, or null if the leader gave it.
     */
    public suspend fun <Q : Any, R : Any> tryOnce(
        channel: Channel<Q, R>,
        request: Q,
        timeoutMs: Long,
        redirect: (R) -> Redirect?,
    ): LeaderCallResult<R> {
        val address = guess.get()
        return when (val result = links.call(address, channel, request, timeoutMs)) {
            is Either.Left -> {
                moveOn(address, null)
                val failure = result.value
                if (failure is LinkFailure.Lost) abandon(address, failure)
                if (failure is LinkFailure.NotSent) {
                    LeaderCallResult.NotExecuted(failure.reason)
                } else {
                    LeaderCallResult.MaybeExecuted(failure.reason)
                }
            }
            is Either.Right -> {
                val hint = redirect(result.value) ?: return LeaderCallResult.Replied(result.value)
                moveOn(address, hint.leader)
                LeaderCallResult.NotExecuted("$address does not lead")
            }
        }
    }

    /**
     * Repeats [request] until the leader replies or [timeoutMs] are over.
     *
     * @param repeatsUnclear whether [request] is safe to repeat after a try that may have been carried out.
     * @return the reply, or the last failure; it is [LeaderCallResult.MaybeExecuted] if any try was.
     */
    public suspend fun <Q : Any, R : Any> retryUntilReplied(
        channel: Channel<Q, R>,
        request: Q,
        timeoutMs: Long,
        perTryMs: Long = timeoutMs,
        repeatsUnclear: Boolean = true,
        redirect: (R) -> Redirect?,
    ): LeaderCallResult<R> {
        val endNanos = System.nanoTime() + timeoutMs * NANOS_PER_MS
        var unclear: LeaderCallResult.MaybeExecuted? = null
        while (true) {
            val leftMs = (endNanos - System.nanoTime()) / NANOS_PER_MS
            val answer = tryOnce(channel, request, minOf(perTryMs, leftMs.coerceAtLeast(1)), redirect)
            if (answer is LeaderCallResult.Replied) return answer
            if (answer is LeaderCallResult.MaybeExecuted) unclear = answer
            if (leftMs <= PAUSE_MS || (unclear != null && !repeatsUnclear)) return unclear ?: answer
            delay(PAUSE_MS)
        }
    }

    private fun moveOn(from: Address, hint: Address?) {
        val next = hint?.takeIf { it != from } ?: addresses[(addresses.indexOf(from) + 1) % addresses.size]
        guess.compareAndSet(from, next)
    }

    /** Closes a connection without answers: a new one may work when an established one hangs. */
    private fun abandon(address: Address, failure: LinkFailure.Lost) {
        links.openConnectionOrNull(address)?.close("no answer: ${failure.reason}")
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
    }
}

/** Returns calls to the leader among the voters at [addresses], over [links]. */
public fun leaderCallsOf(links: Links, addresses: List<Address>): LeaderCalls = LeaderCalls(links, addresses)
