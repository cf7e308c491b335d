/*
 * Limits retries to a fraction of the successful requests, for each client account and in total. When a failure domain
 * is lost, most attempts fail at once; without a limit their retries would overload the remaining targets. Confined to
 * the control thread.
 */
package fulmarshunt.caller

import fulmarshunt.ClientAccountId
import kotlin.math.min

/** The retries that a success earns; in the long run, retries are at most a tenth of the successes. */
private const val EARNED_PER_SUCCESS = 0.1

/** Enough for the requests of one client account when a small pool loses one target. */
private const val ACCOUNT_CAPACITY = 10.0

/** Enough for the requests of a few client accounts when one target is lost. */
private const val TOTAL_CAPACITY = 50.0

/** The retries that client accounts may still make. */
public class RetryBudgets {
    private val accounts = mutableMapOf<ClientAccountId, Double>()
    private var total = TOTAL_CAPACITY

    /** Takes one retry for [account]; returns false if the budget of the account or the total budget is used up. */
    public fun tryTake(account: ClientAccountId): Boolean {
        val accountBudget = accounts[account] ?: ACCOUNT_CAPACITY
        if (accountBudget < 1 || total < 1) return false
        accounts[account] = accountBudget - 1
        total -= 1
        return true
    }

    /** Adds the fraction of a retry that a success of [account] earns. */
    public fun earn(account: ClientAccountId) {
        accounts[account] = min(ACCOUNT_CAPACITY, (accounts[account] ?: ACCOUNT_CAPACITY) + EARNED_PER_SUCCESS)
        total = min(TOTAL_CAPACITY, total + EARNED_PER_SUCCESS)
    }
}
