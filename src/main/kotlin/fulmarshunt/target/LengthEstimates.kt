/*
 * Estimates of output lengths, which are unknown in advance. Lengths are learned for each service and client account;
 * an account with few samples borrows from its service, and a service with few samples from a uniform prior.
 */
package fulmarshunt.target

import fulmarshunt.ClientAccountId
import fulmarshunt.ServiceId

/** Beyond this number, the least recently used histograms of pairs of service and client account are dropped. */
private const val MAX_ACCOUNT_HISTOGRAMS = 8_192

/** An account's samples weigh as much as its service's once it has this many. */
private const val SERVICE_WEIGHT = 20.0

/** A service's samples weigh as much as the uniform prior once it has this many. */
private const val PRIOR_WEIGHT = 4.0

/** An account is not classified as short by its earlier requests below this many samples. */
private const val MIN_SHORT_SAMPLES = 20.0

/** A request counts as short if at most this share of the earlier requests of its account was longer. */
private const val MAX_LONG_SHARE = 0.02

private const val ACCOUNT_DECAY = 0.995
private const val SERVICE_DECAY = 0.999

private data class AccountOfService(val service: ServiceId, val account: ClientAccountId)

/** The distribution of the output length of one request; it includes samples that arrive later. */
internal class OutputLengths(
    private val account: LengthHistogram,
    private val service: LengthHistogram,
    private val maxTokens: Int,
) {
    /** Returns the probability that the output has at least [tokens]. */
    fun survival(tokens: Int): Double {
        if (tokens > maxTokens) return 0.0
        val prior = 1.0 - tokens.toDouble() / (maxTokens + 1)
        val pooled = (service.weightFrom(tokens) + PRIOR_WEIGHT * prior) / (service.weight + PRIOR_WEIGHT)
        return (account.weightFrom(tokens) + SERVICE_WEIGHT * pooled) / (account.weight + SERVICE_WEIGHT)
    }

    /** Returns whether earlier requests suggest that the output has at most [shortMaxTokens]. */
    fun isLearnedShort(shortMaxTokens: Int): Boolean =
        account.weight >= MIN_SHORT_SAMPLES && account.weightFrom(shortMaxTokens + 1) <= MAX_LONG_SHARE * account.weight
}

/** The length statistics of one pool. */
internal class LengthEstimates {
    private val services = HashMap<ServiceId, LengthHistogram>()
    private val accounts = object : LinkedHashMap<AccountOfService, LengthHistogram>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<AccountOfService, LengthHistogram>): Boolean =
            size > MAX_ACCOUNT_HISTOGRAMS
    }

    /** Records that a request of [account] for [service] finished after [tokens]. */
    fun record(service: ServiceId, account: ClientAccountId, tokens: Int) {
        ofService(service).record(tokens)
        ofAccount(service, account).record(tokens)
    }

    /** Returns the length distribution of a request that may have up to [maxTokens]. */
    fun lengthsOf(service: ServiceId, account: ClientAccountId, maxTokens: Int): OutputLengths =
        OutputLengths(ofAccount(service, account), ofService(service), maxTokens)

    private fun ofService(service: ServiceId) = services.getOrPut(service) { LengthHistogram(SERVICE_DECAY) }

    private fun ofAccount(service: ServiceId, account: ClientAccountId) =
        accounts.getOrPut(AccountOfService(service, account)) { LengthHistogram(ACCOUNT_DECAY) }
}
