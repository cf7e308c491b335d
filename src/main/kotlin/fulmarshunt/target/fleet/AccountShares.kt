/*
 * Divides the places that come free among the client accounts that wait for them: start-time fair queueing.
 *
 * It answers bursts of one account beside steady requests of others. Each account has a virtual time, which advances
 * by the capacity that its requests took, divided by its weight; the account that is least advanced is next. What an
 * account does not use goes to the others, and it is not paid back: an account that starts to wait starts at the
 * virtual time of the others. The state exists only while requests wait. The load is one of few requests that wait at
 * each entry VM, with accounts spread unevenly, so that accounts that are about equally advanced are ordered by
 * deadline instead.
 */
package fulmarshunt.target.fleet

import fulmarshunt.ClientAccountId

/**
 * The lead, in capacity of one target, by which an account falls back a round. Within a round, the earlier deadline
 * goes first; smaller rounds would let requests miss their objectives for differences of less than one request.
 */
private const val ROUND_CAPACITY = 0.125

/** With more accounts, those of which no request waits are forgotten. */
private const val MAX_ACCOUNTS = 1_024

/** The shares of client accounts in the capacity for one service and rank; callers without one share one. */
internal class AccountShares(private val weightOf: (ClientAccountId?) -> Double = { 1.0 }) {
    /** The virtual time before which no account that waits has been served. */
    private var virtualTime = 0.0
    private val advancedTo = mutableMapOf<ClientAccountId?, Double>()

    /** The number of accounts that are remembered. */
    val size: Int get() = advancedTo.size

    /** Returns how many rounds [account] is ahead of the account that is least advanced; lower ones are next. */
    fun roundOf(account: ClientAccountId?): Int = ((startOf(account) - virtualTime) / ROUND_CAPACITY).toInt()

    /** Records that a request of [account] begins to wait. */
    fun join(account: ClientAccountId?) {
        advancedTo[account] = startOf(account)
    }

    /** Records that a request of [account] took [capacity] of a target while requests of [waiting] accounts wait. */
    fun recordPlaced(account: ClientAccountId?, capacity: Double, waiting: Set<ClientAccountId?>) {
        val start = startOf(account)
        advancedTo[account] = start + capacity / weightOf(account)
        virtualTime = maxOf(virtualTime, waiting.minOfOrNull(::startOf) ?: start)
        val mayKeepAll = advancedTo.size <= MAX_ACCOUNTS
        advancedTo.entries.removeIf { it.key !in waiting && (it.value <= virtualTime || !mayKeepAll) }
    }

    private fun startOf(account: ClientAccountId?): Double = maxOf(virtualTime, advancedTo[account] ?: virtualTime)
}
