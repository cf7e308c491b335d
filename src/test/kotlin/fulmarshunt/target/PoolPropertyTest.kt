/*
 * Properties of a pool under random sequences of calls.
 */
package fulmarshunt.target

import fulmarshunt.ClientAccountId
import fulmarshunt.TicketId
import fulmarshunt.VmId
import fulmarshunt.entry.TicketOutcome
import fulmarshunt.operator.ClientAccount
import fulmarshunt.operator.Configuration
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.Size
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.util.Random
import kotlin.math.exp

/** A fixed seed, so that each run of the build tries the same cases. */
private const val SEED = "20261204"

class PoolPropertyTest {
    private fun nonNegative(code: Int) = code and Int.MAX_VALUE

    /** Applies the calls that [codes] stand for; [check] sees the effects of each and its time. */
    private fun run(pool: Pool, codes: List<Int>, check: (effects: List<PoolEffect>, nowMs: Long) -> Unit) {
        var nowMs = 0L
        var admitted = 0
        val running = ArrayList<String>()
        for (code in codes.map(::nonNegative)) {
            nowMs += code % 97
            val chosen = if (running.isEmpty()) "none" else running[code % running.size]
            val effects = when (code % 11) {
                0 -> pool.announce(announcement(startLimit = 3, fullLimit = 40, load = TargetLoad(running = 1)), nowMs)
                1, 2, 3, 4 -> {
                    admitted++
                    val request = request(
                        "r$admitted",
                        account = "a${code % 3}",
                        maxOutputTokens = if (code % 2 == 0) 8 else 900,
                        vm = "vm${code % 2}",
                    )
                    pool.admit(request, nowMs) + pool.admit(request, nowMs)
                }
                5 -> pool.withdraw(TicketId("r${if (admitted == 0) 0 else code % admitted}"), nowMs)
                6 -> pool.progress(TicketId(chosen), code % 500, 10, -1.0, nowMs)
                7 -> pool.tick(nowMs)
                8 -> pool.end(TicketId(chosen), 20, TicketOutcome.UNUSED, nowMs).also { running -= chosen }
                9 -> if (code % 5 == 0) pool.vmLost(VmId("vm0"), nowMs) else pool.tick(nowMs)
                else -> pool.end(TicketId(chosen), 20, TicketOutcome.FINISHED, nowMs).also { running -= chosen }
            }
            running += effects.granted().keys
            check(effects, nowMs)
        }
    }

    /** Guards against a target that has just started getting more than it can bear (R2), however much it finishes. */
    @Property(tries = 400, seed = SEED)
    fun newTargetHoldsAtMostItsStartLimitWithoutEvidence(@ForAll @Size(min = 20, max = 300) codes: List<Int>) {
        val pool = pool()
        run(pool, codes) { _, nowMs ->
            // Ten seconds with samples are the least evidence for a target without others beside it.
            val bound = if (nowMs < 9_000) 3 else 40
            for (target in pool.view().targets) expectThat(target.inFlight).isLessThanOrEqualTo(bound)
        }
    }

    /** Guards against callers that get two answers or none. */
    @Property(tries = 400, seed = SEED)
    fun eachTicketIsDecidedExactlyOnce(@ForAll @Size(min = 20, max = 300) codes: List<Int>) {
        val pool = pool()
        val decided = HashMap<String, Int>()
        run(pool, codes) { effects, _ ->
            effects.filterIsInstance<SendAdmissionReply>().forEach { decided.merge(it.ticket.value, 1, Int::plus) }
        }
        pool.tick(1_000_000_000).filterIsInstance<SendAdmissionReply>().forEach {
            decided.merge(it.ticket.value, 1, Int::plus)
        }
        expectThat(decided.values.toSet() - 1).isEqualTo(emptySet())
        expectThat(decided.size).isEqualTo(codes.count { nonNegative(it) % 11 in 1..4 })
    }

    /** Guards against places that stay empty while requests wait. */
    @Property(tries = 400, seed = SEED)
    fun noRequestWaitsWhileAPlaceIsFree(@ForAll @Size(min = 20, max = 300) codes: List<Int>) {
        val pool = pool()
        run(pool, codes) { _, _ ->
            val view = pool.view()
            val free = view.targets.filter { it.health == TargetHealth.LIVE }.sumOf { it.limit - it.inFlight }
            // Limits below ten have no share reserved for short requests.
            if (free > 0 && view.targets.all { it.limit < 10 }) expectThat(view.queuedLong).isEqualTo(0)
        }
    }

    /** Guards against a client account with long outputs taking the share of the others. */
    @Property(tries = 20, seed = SEED)
    fun backloggedAccountsAreServedByWeight(@ForAll seed: Long) {
        val random = Random(seed)
        val weights = mapOf("a" to 1.0, "b" to 1.0, "c" to 2.0, "d" to 4.0)
        val pool = pool(seed = seed)
        val accounts = weights.map { ClientAccount(ClientAccountId(it.key), "", it.value) }.associateBy { it.id }
        pool.configure(Configuration(accounts = accounts), 0)
        val served = HashMap<String, Double>()
        val left = HashMap<String, Int>()
        val tokens = HashMap<String, Int>()
        var next = 0
        fun refill(account: String) = pool.admit(request("$account-${next++}", account, maxWaitMs = 10_000_000), 0)
        val running = LinkedHashSet<String>()
        pool.announce(announcement(startLimit = 16, fullLimit = 16), 0)
        for (account in weights.keys) repeat(20) { running += refill(account).granted().keys }
        for (step in 1..4_000) {
            val nowMs = step * 100L
            if (step % 10 == 0) running += pool.announce(announcement(fullLimit = 16), nowMs).granted().keys
            for (ticket in running.toList()) {
                val account = ticket.substringBefore('-')
                // Lengths are heavy-tailed, and those of account a are three times longer.
                val scale = if (account == "a") 90.0 else 30.0
                val total = left.getOrPut(ticket) { (scale * exp(random.nextGaussian())).toInt().coerceIn(1, 1_000) }
                val now = minOf(total, (tokens[ticket] ?: 0) + 4)
                served.merge(account, (now - (tokens[ticket] ?: 0)).toDouble(), Double::plus)
                tokens[ticket] = now
                pool.progress(TicketId(ticket), now, 10, 25.0, nowMs)
                if (now < total) continue
                running -= ticket
                running += pool.end(TicketId(ticket), now, TicketOutcome.FINISHED, nowMs).granted().keys
                running += refill(account).granted().keys
            }
        }
        val shares = weights.map { (account, weight) -> served.getValue(account) / weight }
        val jain = shares.sum() * shares.sum() / (shares.size * shares.sumOf { it * it })
        expectThat(jain).isGreaterThanOrEqualTo(0.95)
    }
}
