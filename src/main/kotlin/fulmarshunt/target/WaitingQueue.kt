/*
 * The requests that wait for a target. Each client account has a first-in, first-out queue for short and one for long
 * requests; the queue order chooses between the accounts. An account's virtual time is the service that it received
 * divided by its weight, so the account with the least virtual time is served next.
 */
package fulmarshunt.target

import fulmarshunt.ClientAccountId
import fulmarshunt.TicketId
import fulmarshunt.entry.AdmissionRequest
import java.util.PriorityQueue

/** Beyond this number, accounts without waiting requests are dropped. */
private const val MAX_IDLE_ACCOUNTS = 8_192

/** A waiting request. */
internal class WaitingEntry(
    val request: AdmissionRequest,
    val lengths: OutputLengths,
    val isShort: Boolean,
    val arrival: Long,
    val enqueuedMs: Long,
) {
    val deadlineMs: Long = enqueuedMs + (request.maxWaitMs - request.waitedMs).coerceAtLeast(0)
    private var cachedForecast: RequestForecast? = null
    private var cachedMs = Long.MIN_VALUE

    fun waitedMs(nowMs: Long): Long = nowMs - enqueuedMs + request.waitedMs

    /** Returns the memory forecast of the request, at most a second old. */
    fun forecast(nowMs: Long): RequestForecast {
        cachedForecast?.let { if (nowMs - cachedMs < 1_000) return it }
        cachedMs = nowMs
        return requestForecast(lengths, request.promptTokens, 0).also { cachedForecast = it }
    }
}

/** The waiting requests of one client account, with what the account has received. */
internal class AccountQueue(val id: ClientAccountId) {
    var weight = 1.0
    var virtualTime = 0.0
    val short = LinkedHashMap<TicketId, WaitingEntry>()
    val long = LinkedHashMap<TicketId, WaitingEntry>()
    val size: Int get() = short.size + long.size

    fun entries(isShort: Boolean) = if (isShort) short else long
}

/** The waiting requests of a pool. */
internal class WaitingQueue(private val order: QueueOrder, private val capacity: Int) {
    private val accounts = LinkedHashMap<ClientAccountId, AccountQueue>()
    private val backlogged = LinkedHashSet<AccountQueue>()
    private val byTicket = HashMap<TicketId, WaitingEntry>()
    private val byDeadline = PriorityQueue<WaitingEntry>(compareBy { it.deadlineMs })
    private var weights: Map<ClientAccountId, Double> = emptyMap()
    private var arrivals = 0L

    /** The virtual time at which an idle account joins. */
    private var joinTime = 0.0

    val size: Int get() = byTicket.size
    val shortSize: Int get() = backlogged.sumOf { it.short.size }
    val longSize: Int get() = backlogged.sumOf { it.long.size }
    val entries: Collection<WaitingEntry> get() = byTicket.values

    operator fun contains(ticket: TicketId): Boolean = ticket in byTicket

    fun getOrNull(ticket: TicketId): WaitingEntry? = byTicket[ticket]

    fun hasWaiting(isShort: Boolean): Boolean = backlogged.any { it.entries(isShort).isNotEmpty() }

    /** Sets the weights of all accounts; those that are not named have weight 1. */
    fun setWeights(byAccount: Map<ClientAccountId, Double>) {
        weights = byAccount
        for (account in accounts.values) account.weight = byAccount[account.id] ?: 1.0
    }

    /** Adds a request and returns the one to reject if the queue is over its capacity, or null. */
    fun add(request: AdmissionRequest, lengths: OutputLengths, isShort: Boolean, nowMs: Long): WaitingEntry? {
        val account = queueOf(request.account)
        if (account.size == 0) {
            // Idle time gives no credit: an account joins at the virtual time of those that wait.
            account.virtualTime = maxOf(account.virtualTime, joinTime())
            backlogged += account
        }
        val entry = WaitingEntry(request, lengths, isShort && order.hasShortClass, arrivals++, nowMs)
        account.entries(entry.isShort)[request.ticket] = entry
        byTicket[request.ticket] = entry
        byDeadline += entry
        return if (size > capacity) newestOfLongest() else null
    }

    fun remove(ticket: TicketId): WaitingEntry? {
        val entry = byTicket.remove(ticket) ?: return null
        val account = queueOf(entry.request.account)
        account.entries(entry.isShort).remove(ticket)
        if (account.size == 0) {
            joinTime = joinTime()
            backlogged -= account
        }
        return entry
    }

    /** Returns the earliest time at which a waiting request expires, or null if none waits. */
    fun nextDeadlineMsOrNull(): Long? {
        while (true) {
            val first = byDeadline.peek() ?: return null
            if (byTicket[first.request.ticket] === first) return first.deadlineMs
            byDeadline.poll()
        }
    }

    /** Returns a waiting request that has expired, or null. */
    fun expiredOrNull(nowMs: Long): WaitingEntry? =
        nextDeadlineMsOrNull()?.takeIf { it <= nowMs }?.let { byDeadline.peek() }

    /** Returns the first waiting request of each account in the class that [mayRun], in queue order. */
    fun heads(isShort: Boolean, mayRun: (WaitingEntry) -> Boolean): List<WaitingEntry> = backlogged
        .mapNotNull { account ->
            val head = account.entries(isShort).values.firstOrNull(mayRun) ?: return@mapNotNull null
            head to order.key(QueueHead(head.arrival, account.virtualTime))
        }.sortedBy { it.second }
        .map { it.first }

    /** Charges [tokens] to an account; a negative number refunds a charge. */
    fun charge(account: ClientAccountId, tokens: Int) {
        queueOf(account).let { it.virtualTime += tokens / it.weight }
    }

    /** Returns how many requests are served before a new one of [account], in the class or the whole queue. */
    fun aheadOf(account: ClientAccountId, isShort: Boolean): Double {
        val own = queueOf(account)
        if (!order.hasShortClass) return size.toDouble()
        val waiting = backlogged.filter { it.entries(isShort).isNotEmpty() }
        val total = waiting.sumOf { it.entries(isShort).size }.toDouble()
        val otherWeight = waiting.sumOf { if (it === own) 0.0 else it.weight }
        val ownAhead = own.entries(isShort).size + 1
        // While this account is served once, the others are served in proportion to their weights.
        return minOf(total, ownAhead * (1.0 + otherWeight / own.weight) - 1.0)
    }

    private fun joinTime(): Double = backlogged.minOfOrNull { it.virtualTime } ?: joinTime

    private fun newestOfLongest(): WaitingEntry {
        val longest = backlogged.maxBy { it.size / it.weight }
        return longest.long.values.lastOrNull() ?: longest.short.values.last()
    }

    private fun queueOf(id: ClientAccountId): AccountQueue {
        accounts[id]?.let { return it }
        if (accounts.size >= MAX_IDLE_ACCOUNTS) {
            // An account whose virtual time is not ahead would rejoin at the same virtual time anyway.
            accounts.values.removeIf { it.size == 0 && it.virtualTime <= joinTime }
        }
        return AccountQueue(id).also {
            it.weight = weights[id] ?: 1.0
            accounts[id] = it
        }
    }
}
