/*
 * Plays overload at the queues of entry VMs, and checks what callers of each account, rank and size get.
 */
package fulmarshunt.target.fleet

import fulmarshunt.ClientAccountId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo
import kotlin.math.pow
import kotlin.random.Random

private const val STEP_MS = 50L
private const val PATIENCE_MS = 3_000L
private const val OBJECTIVE_MS = 2_000L

/** A queue for which [placesPerS] come free. */
private class PlayedQueue(private val placesPerS: Double, weightOf: (ClientAccountId?) -> Double = { 1.0 }) {
    var nowMs = 0L
    val queue = WaitingRequests({ nowMs }, weightOf)
    private val waiting = mutableListOf<WaitingRequest>()
    private var free = 0.0
    val sent = mutableMapOf<String, Int>()
    val served = mutableMapOf<String, Int>()

    fun arrive(account: String, rank: Int = 0, firstTriedAtMs: Long = nowMs) {
        val request = request("$account-$nowMs").copy(
            account = ClientAccountId(account),
            rank = rank,
            objectiveDeadlineMs = firstTriedAtMs + OBJECTIVE_MS,
        )
        sent.merge(account, 1, Int::plus)
        val entry = WaitingRequest(request, nowMs, nowMs + PATIENCE_MS)
        if (queue.admitNewOrNull(entry, ::place) != null) return
        queue.add(entry)
        waiting += entry
    }

    private fun place(request: PlacementRequest): Placement? {
        if (free < 1) return null
        free -= 1
        served.merge(checkNotNull(request.account).value, 1, Int::plus)
        return Placement(request, known(record("a")), TargetUse.NONE)
    }

    fun step() {
        nowMs += STEP_MS
        free = (free + placesPerS * STEP_MS / 1_000).coerceAtMost(maxOf(1.0, placesPerS))
        waiting.filter { it.isWaiting && it.untilMs <= nowMs }.forEach {
            it.result.complete(null)
            queue.recordUnserved(it)
        }
        queue.admit(::place)
        waiting.filterNot { it.isWaiting }.forEach(queue::remove)
        waiting.removeIf { !it.isWaiting }
    }

    fun share(account: String): Double = (served[account] ?: 0).toDouble() / sent.getValue(account)
}

class FairQueueTest {
    private fun PlayedQueue.play(seconds: Int, sends: (Long) -> Unit) = repeat(seconds * 1_000 / STEP_MS.toInt()) {
        step()
        sends(nowMs)
    }

    /** Guards against an account that gets the more of too little room, the more it sends. */
    @Test
    fun `a burst of one account leaves the others what they ask for`() {
        val queue = PlayedQueue(placesPerS = 5.0)
        queue.play(40) { nowMs ->
            repeat(if (nowMs % 5_000 < 2_500) 2 else 0) { queue.arrive("large") }
            if (nowMs % 1_000 == 0L) listOf("a", "b", "c").forEach { queue.arrive(it) }
        }
        listOf("a", "b", "c").forEach { expectThat(queue.share(it)).isGreaterThan(0.95) }
        // What the others leave is lent.
        expectThat(queue.served.values.sum()).isGreaterThan(40 * 5 - 10)
    }

    /** Guards against a lent share that is paid back: the account would be served nothing while others ask for it. */
    @Test
    fun `an account that used what others left keeps its share when they come`() {
        val queue = PlayedQueue(placesPerS = 4.0)
        queue.play(30) { nowMs -> if (nowMs % 100 == 0L) queue.arrive("first") }
        val before = queue.served.getValue("first")
        expectThat(before).isIn(110..124)
        queue.play(30) { nowMs -> if (nowMs % 100 == 0L) listOf("first", "second").forEach { queue.arrive(it) } }
        expectThat(queue.served.getValue("second")).isIn(50..70)
        expectThat(queue.served.getValue("first") - before).isIn(50..70)
    }

    /** Guards against weights that have no effect, and against accounts that are remembered when nothing waits. */
    @Test
    fun `shares follow weights, and accounts without a waiting request are forgotten`() {
        val queue = PlayedQueue(placesPerS = 4.0) { if (it == ClientAccountId("heavy")) 3.0 else 1.0 }
        queue.play(60) { nowMs -> if (nowMs % 100 == 0L) listOf("heavy", "light").forEach { queue.arrive(it) } }
        val ratio = queue.served.getValue("heavy").toDouble() / queue.served.getValue("light")
        expectThat(ratio).isIn(2.4..3.6)
        val shares = AccountShares()
        repeat(10_000) { shares.recordPlaced(ClientAccountId("a$it"), 0.1, emptySet()) }
        expectThat(shares.size).isLessThanOrEqualTo(1_025)
    }

    /** Guards against a less urgent kind that lasting overload starves, and against one served before an urgent one. */
    @Test
    fun `lasting overload serves a less urgent rank half as often`() {
        val queue = PlayedQueue(placesPerS = 5.0)
        queue.play(120) { nowMs ->
            if (nowMs % 100 == 0L) queue.arrive("urgent", rank = 0)
            if (nowMs % 500 == 0L) queue.arrive("other", rank = 2)
        }
        expectThat(queue.share("other") / queue.share("urgent")).isIn(0.35..1.0)
    }

    /** Guards against callers that lose their place by returning later, as they were told. */
    @Test
    fun `a late return keeps the place of its first try`() {
        val queue = PlayedQueue(placesPerS = 1.0)
        queue.nowMs = 10_000
        queue.arrive("new")
        queue.arrive("newer", firstTriedAtMs = 10_010)
        queue.arrive("returned", firstTriedAtMs = 9_000)
        repeat(20) { queue.step() }
        expectThat(queue.served).isEqualTo(mutableMapOf("returned" to 1))
    }

    /** Guards against a large request that waits while smaller ones take all room that comes free. */
    @Test
    fun `small requests pass a large one only a few times, and do not wait for it for long`() {
        var nowMs = 0L
        val queue = WaitingRequests({ nowMs })
        val large = WaitingRequest(request("large", prompt = 6_000, output = 2_000), 0, 8_000)
        queue.add(large)
        val placed = (1..60).count {
            nowMs += 10
            val small = WaitingRequest(request("small$it", prompt = 500, output = 500), nowMs, nowMs + 1_000)
            queue.admitNewOrNull(small) { request -> Placement(request, known(record("a")), TargetUse.NONE) } != null
        }
        expectThat(placed).isEqualTo(26)
        nowMs += 2_000
        val later = WaitingRequest(request("later", prompt = 500, output = 500), nowMs, nowMs + 1_000)
        expectThat(queue.admitNewOrNull(later) { Placement(it, known(record("a")), TargetUse.NONE) } != null)
            .isEqualTo(true)
    }

    /** Guards against small accounts that are crowded out where each of many entry VMs sees few requests of each. */
    @Test
    fun `accounts spread unevenly over entry VMs are all served`() {
        for (entryVms in listOf(3, 73, 330)) {
            val random = Random(entryVms)
            // Twice the load that all entry VMs together have places for.
            val placesPerS = 60.0 / entryVms
            val queues = List(entryVms) { PlayedQueue(placesPerS) }
            // Account 0 sends half of the requests; each account has more callers at some entry VMs than at others.
            val crowding = List(24) { List(entryVms) { random.nextDouble().pow(3) + 0.05 } }
            val parts = crowding.mapIndexed { account, at -> (if (account == 0) 0.5 else 0.5 / 23) / at.average() }
            repeat(40_000 / STEP_MS.toInt()) {
                queues.forEachIndexed { vm, queue ->
                    queue.step()
                    for (account in crowding.indices) {
                        var load = 2 * placesPerS * STEP_MS / 1_000 * parts[account] * crowding[account][vm]
                        while (random.nextDouble() < load) {
                            queue.arrive("$account")
                            load -= 1
                        }
                    }
                }
            }
            fun shareOf(accounts: Iterable<Int>): Double =
                queues.sumOf { queue -> accounts.sumOf { queue.served["$it"] ?: 0 } } /
                    queues.sumOf { queue -> accounts.sumOf { queue.sent["$it"] ?: 0 } }.toDouble()
            expectThat(shareOf(1..23)).describedAs("$entryVms entry VMs, others").isGreaterThan(shareOf(0..0))
            // No account may be served less than a quarter as often as all.
            val least = (0..23).minOf { shareOf(it..it) }
            expectThat(least).describedAs("$entryVms entry VMs, least").isGreaterThan(shareOf(0..23) / 4)
            println(
                "$entryVms entry VMs: large ${shareOf(
                    0..0,
                )} others ${shareOf(1..23)} least $least all ${shareOf(0..23)}",
            )
        }
    }
}
