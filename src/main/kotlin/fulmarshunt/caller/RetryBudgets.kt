/*
 * Limits retries to a share of the successful requests, for each client account and in total. When a failure domain is
 * lost, most attempts fail at once; without a limit their retries would overload the remaining targets. Confined to the
 * control thread.
 */
package fulmarshunt.caller

import fulmarshunt.ClientAccountId
import kotlin.math.min

/** What a success adds; retries are at most a tenth of the successes in the long run. */
private const val EARNED_PER_SUCCESS = 0.1

/** Covers the loss of one target of a small pool by one client account. */
private const val ACCOUNT_CAPACITY = 10.0

/** Covers the loss of one target by a few client accounts at once. */
private const val TOTAL_CAPACITY = 50.0

/** The retries that client accounts may still make. */
public class RetryBudgets {
    private val accounts = mutableMapOf<ClientAccountId, Double>()
    private var total = TOTAL_CAPACITY

    /** Takes one retry for [account]; false if the account's or the total budget is used up. */
    public fun tryTake(account: ClientAccountId): Boolean {
        val own = accounts[account] ?: ACCOUNT_CAPACITY
        if (own < 1 || total < 1) return false
        accounts[account] = own - 1
        total -= 1
        return true
    }

    /** Adds the share of a retry that a success of [account] earns. */
    public fun earn(account: ClientAccountId) {
        accounts[account] = min(ACCOUNT_CAPACITY, (accounts[account] ?: ACCOUNT_CAPACITY) + EARNED_PER_SUCCESS)
        total = min(TOTAL_CAPACITY, total + EARNED_PER_SUCCESS)
    }
}
