/*
 * Tests the reactions of a pool to failures of its targets and entry VMs, over explicit sequences of events.
 */
package fulmarshunt.target

import fulmarshunt.Fingerprint
import fulmarshunt.Incarnation
import fulmarshunt.TargetId
import fulmarshunt.TicketId
import fulmarshunt.VmId
import fulmarshunt.entry.RejectReason
import fulmarshunt.entry.RunningTicket
import fulmarshunt.entry.TicketOutcome
import fulmarshunt.operator.Configuration
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull

class PoolTest {
    private fun Pool.admitAll(count: Int, nowMs: Long, prefix: String = "r") =
        (0 until count).flatMap { admit(request("$prefix$it"), nowMs) }.granted()

    private fun Pool.end(ticket: String, outcome: TicketOutcome, nowMs: Long) = end(TicketId(ticket), 5, outcome, nowMs)

    /** Guards against a target that gets its full limit of requests just after its start (R2). */
    @Test
    fun `a new incarnation starts at the start limit`() {
        val pool = pool()
        pool.announce(announcement(startLimit = 2), 0)
        expectThat(pool.admitAll(10, 1)).hasSize(2)
        pool.announce(announcement(incarnation = 2, startLimit = 1), 2)
        expectThat(pool.inFlight("t1")).isEqualTo(1)
    }

    /** Guards against a target that keeps its raised limit after it turned cold. */
    @Test
    fun `a target that turned cold returns to its start limit`() {
        val pool = pool()
        pool.announce(announcement(startLimit = 8), 0)
        pool.admitAll(8, 1)
        for (i in 1..12) pool.progress(TicketId("r${i % 8}"), 10 * i, 50, 20.0, 100L * i)
        pool.announce(announcement(startLimit = 1), 1_500)
        for (i in 0..3) pool.progress(TicketId("r$i"), 500, 50, 200.0, 1_600L + i)
        expectThat(pool.target("t1").limit).isEqualTo(1)
    }

    /** Guards against new work for a silent target, and against a crash report without its requests. */
    @Test
    fun `a silent target is suspected and then counts as crashed`() {
        val pool = pool()
        pool.announce(announcement(startLimit = 2), 0)
        pool.admit(request("r1"), 1)
        expectThat(pool.nextTickMs()).isEqualTo(3_000)
        pool.tick(3_000)
        expectThat(pool.admit(request("r2"), 3_001)).isEmpty()
        val crash = pool.tick(6_000).filterIsInstance<ReportCrash>().single()
        expectThat(crash.running.map { it.value }).isEqualTo(listOf("r1"))
        expectThat(pool.tick(9_000)).isEmpty()
    }

    /** Guards against an overload of a target that was only unreachable and still runs its requests. */
    @Test
    fun `a target that returns in the same incarnation still runs its tickets`() {
        val pool = pool()
        pool.announce(announcement(startLimit = 2), 0)
        pool.admit(request("r1"), 1)
        pool.tick(6_000)
        pool.announce(announcement(startLimit = 1, load = TargetLoad(running = 1)), 7_000)
        expectThat(pool.admit(request("r2"), 7_001)).isEmpty()
        expectThat(pool.end("r1", TicketOutcome.FINISHED, 7_100).granted()).isEqualTo(mapOf("r2" to "t1"))
    }

    /** Guards against requests sent to a target that loses all of them while it still announces itself. */
    @Test
    fun `several lost tickets count as a crash that names all of them`() {
        val pool = pool()
        pool.announce(announcement(startLimit = 4), 0)
        pool.admitAll(4, 1)
        pool.end("r0", TicketOutcome.LOST, 10)
        pool.end("r1", TicketOutcome.LOST, 11)
        val crash = pool.end("r2", TicketOutcome.LOST, 12).filterIsInstance<ReportCrash>().single()
        expectThat(crash.running.map { it.value }).containsExactlyInAnyOrder("r0", "r1", "r2", "r3")
    }

    private fun Pool.crashes(nowMs: Long) = tick(nowMs).filterIsInstance<ReportCrash>()

    /** Guards against slow detection of a crash after an attempt found the target gone. */
    @Test
    fun `an attempt that found the target gone shortens the time until it counts as crashed`() {
        val pool = pool()
        pool.announce(announcement("t1", startLimit = 2), 0)
        pool.admitAll(2, 1)
        expectThat(pool.end("r0", TicketOutcome.GONE, 100)).containsExactly(
            CancelGeneration(TargetId("t1"), announcement().address, TicketId("r0")),
        )
        expectThat(pool.nextTickMs()).isEqualTo(GONE_SILENCE_MS)
        val crash = pool.crashes(GONE_SILENCE_MS).single()
        expectThat(crash.running.map { it.value }).containsExactlyInAnyOrder("r0", "r1")
        expectThat(pool.crashes(CRASHED_AFTER_MS)).isEmpty()
    }

    /** Guards against healthy targets that count as crashed because the links of entry VMs to them are broken. */
    @Test
    fun `a target that announces itself is alive however many attempts found it gone`() {
        val pool = pool()
        pool.announce(announcement("t1", startLimit = 8), 0)
        pool.admitAll(8, 1)
        for (i in 0 until 8) {
            expectThat(pool.end("r$i", TicketOutcome.GONE, 10L + i).filterIsInstance<ReportCrash>()).isEmpty()
        }
        expectThat(pool.target("t1").health).isEqualTo(TargetHealth.SUSPECTED)
        expectThat(pool.inFlight("t1")).isEqualTo(8)
        for (second in 1..10L) {
            val effects = pool.announce(announcement("t1", startLimit = 8), second * 1_000)
            expectThat(effects.filterIsInstance<ReportCrash>()).isEmpty()
            expectThat(pool.target("t1").health).isEqualTo(TargetHealth.LIVE)
        }
        expectThat(pool.view().suspects).isEqualTo(0)
    }

    /** Guards against requests that are sent repeatedly over a broken link. */
    @Test
    fun `an entry VM that cannot reach a target gets other targets for a while`() {
        val pool = pool()
        pool.announce(announcement("t1", startLimit = 2), 0)
        pool.admit(request("r1", vm = "vm1"), 1)
        pool.end("r1", TicketOutcome.GONE, 10)
        pool.announce(announcement("t1", startLimit = 2), 1_000)
        expectThat(pool.admit(request("r2", vm = "vm1"), 1_001).granted()).isEqualTo(emptyMap())
        expectThat(pool.admit(request("r3", vm = "vm2"), 1_002).granted()).isEqualTo(mapOf("r3" to "t1"))
        expectThat(pool.announce(announcement("t1", startLimit = 2), 3_100).granted()).isEqualTo(mapOf("r2" to "t1"))
    }

    /** Guards against a quarantine of a request that was sent to several targets of a failing failure domain. */
    @Test
    fun `a suspect is placed only at targets that announced themselves after the crash`() {
        val pool = pool()
        pool.announce(announcement("t1"), 0)
        pool.admit(request("r1", fingerprint = "f"), 1)
        pool.announce(announcement("t2"), 2)
        pool.end("r1", TicketOutcome.GONE, 100)
        pool.admit(request("r2", fingerprint = "f", lostAt = listOf("t1")), 101)
        expectThat(pool.tick(2_500).filterIsInstance<ReportCrash>().single().target).isEqualTo(TargetId("t1"))
        expectThat(pool.target("t2").health).isEqualTo(TargetHealth.LIVE)
        expectThat(pool.inFlight("t2")).isEqualTo(0)
        expectThat(pool.announce(announcement("t2"), 2_600).granted()).isEqualTo(mapOf("r2" to "t2"))
    }

    /** Guards against a request that reaches further targets before it is known whether it crashed the last one. */
    @Test
    fun `a lost request waits until its target has announced itself or counts as crashed`() {
        val pool = pool()
        pool.announce(announcement("t1"), 0)
        pool.announce(announcement("t2", startLimit = 4), 0)
        // The report of the loss may arrive after the next request.
        expectThat(pool.admit(request("r1", lostAt = listOf("t1")), 2_000)).isEmpty()
        // This announcement may have been sent before the loss.
        expectThat(pool.announce(announcement("t1"), 2_100)).isEmpty()
        expectThat(pool.admit(request("r2"), 2_101).granted().size).isEqualTo(1)
        pool.announce(announcement("t2"), 2_102)
        expectThat(pool.announce(announcement("t1"), 3_000).granted()).isEqualTo(mapOf("r1" to "t2"))

        pool.admit(request("r3", lostAt = listOf("t1")), 3_001)
        expectThat(pool.announce(announcement("t2"), 8_000)).isEmpty()
        expectThat(pool.tick(9_000).granted()).isEqualTo(mapOf("r3" to "t2"))
    }

    /** Guards against a lost request that waits although no other target serves it. */
    @Test
    fun `a lost request is rejected once its target is known to be alive and the only one`() {
        val pool = pool()
        pool.announce(announcement("t1"), 0)
        expectThat(pool.admit(request("r1", lostAt = listOf("t1")), 2_000)).isEmpty()
        val rejected = pool.announce(announcement("t1"), 3_000).rejected()
        expectThat(rejected["r1"]?.reason).isEqualTo(RejectReason.NO_TARGET)
    }

    /** Guards against a third crash before the quarantine after the second one takes effect. */
    @Test
    fun `a request is not placed for a time after its second crash`() {
        val pool = pool()
        for (t in 1..3) pool.announce(announcement("t$t"), 0)
        for (n in 1..2) {
            val target = pool.admit(request("r$n", fingerprint = "f"), 10L * n).granted().getValue("r$n")
            pool.announce(announcement(target, incarnation = 2), 10L * n + 1)
            for (t in 1..3) pool.announce(announcement("t$t", incarnation = if ("t$t" == target) 2 else 1), 10L * n + 2)
        }
        expectThat(pool.admit(request("r3", fingerprint = "f"), 30)).isEmpty()
        expectThat(pool.nextTickMs()).isEqualTo(2_021)
        expectThat(pool.admit(request("r4"), 31).granted().size).isEqualTo(1)
        expectThat(pool.tick(2_021).granted().keys).isEqualTo(setOf("r3"))
    }

    /** Guards against a suspect that crashes several targets at once. */
    @Test
    fun `a suspect runs on one target at a time`() {
        val pool = pool()
        pool.announce(announcement("t1"), 0)
        pool.admit(request("r1", fingerprint = "f"), 1)
        pool.announce(announcement("t1", incarnation = 2), 10)
        pool.announce(announcement("t2"), 10)
        expectThat(pool.admit(request("r2", fingerprint = "f"), 11).granted().size).isEqualTo(1)
        expectThat(pool.admit(request("r3", fingerprint = "f"), 12)).isEmpty()
        expectThat(pool.end("r2", TicketOutcome.FINISHED, 20).granted().keys).isEqualTo(setOf("r3"))
    }

    /** Guards against blame for a request that ran on several targets of a failure domain when it failed. */
    @Test
    fun `targets that crash together count once against a request on several of them`() {
        val pool = pool()
        pool.announce(announcement("t1"), 0)
        pool.announce(announcement("t2"), 0)
        pool.admit(request("r1", fingerprint = "f"), 1)
        pool.admit(request("r2", fingerprint = "f"), 1)
        pool.announce(announcement("t2"), 1_000)
        expectThat(pool.crashes(6_000).single().alreadyCounted).isEqualTo(emptySet())
        expectThat(pool.admit(request("r3", fingerprint = "f"), 6_001)).isEmpty()
        // A suspect waits while it may still run elsewhere.
        expectThat(pool.announce(announcement("t3"), 6_500)).isEmpty()
        val second = pool.crashes(7_000).single()
        expectThat(second.running).isEqualTo(listOf(Fingerprint("f")))
        expectThat(second.alreadyCounted).isEqualTo(setOf(Fingerprint("f")))
        expectThat(pool.announce(announcement("t3"), 8_000)).isEmpty()
        expectThat(pool.tick(9_000).granted()).isEqualTo(mapOf("r3" to "t3"))
        pool.announce(announcement("t3", incarnation = 2), 10_000).filterIsInstance<ReportCrash>().single().let {
            expectThat(it.running).isEqualTo(listOf(Fingerprint("f")))
            expectThat(it.alreadyCounted).isEqualTo(emptySet())
        }
    }

    /** Guards against a target that counts as crashed although it produces tokens between losses. */
    @Test
    fun `lost tickets with tokens between them do not count as a crash`() {
        val pool = pool()
        pool.announce(announcement(startLimit = 5), 0)
        pool.admitAll(5, 1)
        for (i in 0..3) {
            expectThat(pool.end("r$i", TicketOutcome.LOST, 10L + i).filterIsInstance<ReportCrash>()).isEmpty()
            pool.progress(TicketId("r4"), 20 + i, 50, 20.0, 10L + i)
        }
        expectThat(pool.target("t1").health).isEqualTo(TargetHealth.LIVE)
    }

    /** Guards against a cause that cannot be identified because the same requests run beside it at each crash. */
    @Test
    fun `suspects of one crash are not placed together`() {
        val pool = pool()
        pool.announce(announcement("t1", startLimit = 2), 0)
        pool.admit(request("r1", fingerprint = "f1"), 1)
        pool.admit(request("r2", fingerprint = "f2"), 1)
        pool.announce(announcement("t1", incarnation = 2, startLimit = 4), 10)
        pool.admit(request("r3", fingerprint = "f1"), 11)
        expectThat(pool.admit(request("r4", fingerprint = "f2"), 12)).isEmpty()
        pool.announce(announcement("t2", startLimit = 4), 13)
        expectThat(pool.inFlight("t2")).isEqualTo(1)
    }

    /** Guards against new work for a drained target, and against requests that wait for it. */
    @Test
    fun `a drained target gets no work and its queue is rejected`() {
        val pool = pool()
        pool.announce(announcement(), 0)
        pool.admit(request("r1"), 2_000)
        expectThat(pool.admit(request("r2"), 2_001)).isEmpty()
        val effects = pool.configure(Configuration(drainedTargets = setOf(TargetId("t1"))), 2_002)
        expectThat(effects.rejected()["r2"]?.reason).isEqualTo(RejectReason.LEAVING)
        pool.end("r1", TicketOutcome.FINISHED, 2_003)
        expectThat(pool.admit(request("r3"), 2_004).rejected()["r3"]?.reason).isEqualTo(RejectReason.LEAVING)
    }

    /** Guards against a new owner that exceeds limits because of requests granted by the former one. */
    @Test
    fun `a settling pool grants nothing and counts registered tickets`() {
        val pool = pool(settlingUntilMs = 1_000)
        val running = RunningTicket(request("old"), TargetId("t1"), Incarnation(1), 7)
        expectThat(pool.reregister(VmId("vm1"), listOf(running), 10)).isEmpty()
        pool.announce(announcement(load = TargetLoad(running = 1)), 20)
        expectThat(pool.admit(request("r1"), 30)).isEmpty()
        expectThat(pool.nextTickMs()).isEqualTo(1_000)
        expectThat(pool.tick(1_000)).isEmpty()
        expectThat(pool.end("old", TicketOutcome.FINISHED, 1_100).granted()).isEqualTo(mapOf("r1" to "t1"))
    }

    /** Guards against generations without a receiver that keep engine memory. */
    @Test
    fun `a lost entry VM has its generations cancelled and its queue dropped`() {
        val pool = pool()
        pool.announce(announcement(), 0)
        pool.admit(request("r1", vm = "vm1"), 1)
        pool.admit(request("r2", vm = "vm1"), 1)
        pool.admit(request("r3", vm = "vm2"), 1)
        val effects = pool.vmLost(VmId("vm1"), 10)
        expectThat(effects.filterIsInstance<CancelGeneration>().map { it.ticket.value }).isEqualTo(listOf("r1"))
        expectThat(effects.rejected().keys).isEqualTo(setOf("r2"))
        expectThat(pool.end("r1", TicketOutcome.CANCELLED, 20).granted()).isEqualTo(mapOf("r3" to "t1"))
    }

    /** Guards against a grant with a lost reply that counts as in flight forever, or is released while it may run. */
    @Test
    fun `an unused grant is released only when the target cannot run it`() {
        val pool = pool()
        pool.announce(announcement(startLimit = 2), 0)
        pool.admit(request("used"), 1)
        pool.admit(request("unused"), 1)
        pool.progress(TicketId("used"), 1, 50, -1.0, 100)
        for (second in 1..8L) {
            pool.announce(announcement(load = TargetLoad(running = 2)), 1_000 * second)
            pool.progress(TicketId("used"), second.toInt() * 20, 50, 20.0, 1_000 * second + 500)
        }
        expectThat(pool.inFlight("t1")).isEqualTo(2)
        for (second in 9..20L) {
            pool.announce(announcement(load = TargetLoad(running = 1)), 1_000 * second)
            pool.progress(TicketId("used"), second.toInt() * 20, 50, 20.0, 1_000 * second + 500)
        }
        expectThat(pool.inFlight("t1")).isEqualTo(1)
    }

    /** Guards against so many long requests of unknown length at an engine that it preempts. */
    @Test
    fun `the expected peak bounds the running set`() {
        val pool = pool()
        pool.announce(announcement(startLimit = 64, memoryTokens = 10_000), 0)
        val granted = (0 until 64).flatMap { pool.admit(request("r$it", maxOutputTokens = 2_000), 1) }.granted()
        expectThat(granted.size).isGreaterThan(5).isLessThan(20)
        expectThat(pool.admit(request("big", promptTokens = 20_000), 2_000).rejected()["big"]?.reason)
            .isEqualTo(RejectReason.NO_TARGET)
    }

    /** Guards against a forecast that is too low and causes preemptions forever. */
    @Test
    fun `a preemption raises the risk bound, which then decreases`() {
        val pool = pool()
        pool.announce(announcement(), 0)
        val before = pool.target("t1").riskBound
        pool.announce(announcement(load = TargetLoad(preemptions = 3)), 1_000)
        val raised = pool.target("t1").riskBound
        expectThat(raised).isGreaterThan(before)
        for (second in 2..100L) pool.announce(announcement(load = TargetLoad(preemptions = 3)), 1_000 * second)
        expectThat(pool.target("t1").riskBound).isLessThan(raised)
    }

    /** Guards against head-of-line blocking of tags by letters. */
    @Test
    fun `a short request does not wait behind long ones`() {
        val pool = pool()
        pool.announce(announcement(fullLimit = 1), 0)
        pool.admitAll(20, 1)
        pool.admit(request("tag", account = "a", maxOutputTokens = 8), 2)
        expectThat(pool.end("r0", TicketOutcome.FINISHED, 3).granted().keys).isEqualTo(setOf("tag"))
    }

    /** Guards against waiting requests without a reply, and against an advised retry that is too early. */
    @Test
    fun `overdue requests are rejected, and immediately if they cannot be served in time`() {
        val pool = pool()
        pool.announce(announcement(fullLimit = 1), 0)
        pool.admit(request("first"), 1)
        expectThat(pool.admit(request("r1", maxWaitMs = 500), 2)).isEmpty()
        expectThat(pool.nextTickMs()).isEqualTo(502)
        expectThat(pool.tick(502).rejected()["r1"]?.reason).isEqualTo(RejectReason.OVERLOADED)
        for (i in 0 until 40) pool.admit(request("q$i"), 600)
        for (i in 1..20L) {
            pool.announce(announcement(fullLimit = 1), i * 500 + 600)
            pool.end(if (i == 1L) "first" else "q${i - 2}", TicketOutcome.FINISHED, i * 500 + 601)
        }
        val late = pool.admit(request("late", maxWaitMs = 1_000), 10_700).rejected()["late"]
        expectThat(late?.retryAfterMs ?: 0).isGreaterThan(2_000)
    }

    /** Guards against an index that is fully trusted or discarded after cache events were lost. */
    @Test
    fun `a gap in the cache events lowers the confidence`() {
        val index = PrefixIndex()
        fun stored(sequence: Long, hash: Long) = listOf(CacheEvent(sequence, CacheOperation.STORED, hash))
        index.apply(stored(1, 11) + stored(2, 12))
        expectThat(index.affinity(listOf(11, 12))).isEqualTo(1.0)
        index.apply(stored(9, 13))
        expectThat(index.affinity(listOf(11, 12))).isGreaterThan(0.0).isLessThan(1.0)
        expectThat(index.affinity(listOf(13))).isEqualTo(1.0)
        index.apply((10L..40_000L).flatMap { stored(it, it) })
        expectThat(index.size).isLessThan(20_000)
    }

    /** Guards against a full target that is chosen for its cache, and against ignoring the cache. */
    @Test
    fun `affinity decides between equally loaded targets only`() {
        val pool = pool()
        val events = listOf(CacheEvent(1, CacheOperation.STORED, 5))
        pool.announce(announcement("t1", startLimit = 8, cacheEvents = events), 0)
        pool.announce(announcement("t2", startLimit = 8), 0)
        fun place(n: Int) =
            pool.admit(request("r$n", promptTokens = 900, prefixHashes = listOf(5L)), 1).granted()["r$n"]
        expectThat(place(0)).isEqualTo("t1")
        expectThat((1..9).map { place(it) }.contains("t2")).isEqualTo(true)
    }

    /** Guards against a retry at the target that failed the request. */
    @Test
    fun `an excluded target is not chosen`() {
        val pool = pool()
        pool.announce(announcement("t1"), 0)
        pool.announce(announcement("t2"), 0)
        expectThat(pool.admit(request("r1", excluded = listOf("t1")), 1).granted()["r1"]).isNotEqualTo("t1")
        expectThat(poolPolicies(queueOrder = "lifo").isRight()).isFalse()
        expectThat(pool.admit(request("r1"), 2).granted()["r1"]).isNull()
    }
}
