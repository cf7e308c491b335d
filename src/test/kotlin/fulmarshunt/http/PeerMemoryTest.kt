/*
 * Whose connection is closed for want of memory or descriptors, and which bounds a process sets itself.
 */
package fulmarshunt.http

import fulmarshunt.clockOf
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull

private const val MIB = 1_048_576L

class PeerMemoryTest {
    private fun holding(owner: String, heldBytes: Long, progressAtMs: Long) =
        Holding(owner, heldBytes, progressAtMs, heldBytes > 0)

    /** Guards against an ordinary caller that is closed because others fill the memory. */
    @Test
    fun `the slowest of the greatest holders is closed`() {
        val holdings = listOf(holding("ordinary", 6_000, 0), holding("fast", 600_000, 20), holding("slow", 400_000, 10))
        expectThat(memoryVictimOrNull(holdings)).isEqualTo("slow")
        expectThat(memoryVictimOrNull(emptyList<Holding<String>>())).isNull()
    }

    /** Guards against idle connections of ordinary callers that are closed before requests that never end. */
    @Test
    fun `an incomplete request is closed before an idle connection`() {
        val holdings = listOf(holding("idle", 0, 0), holding("recent", 100, 30), holding("incomplete", 100, 20))
        expectThat(descriptorVictimOrNull(holdings)).isEqualTo("incomplete")
        expectThat(descriptorVictimOrNull(holdings.take(1))).isEqualTo("idle")
    }

    /** Guards against an account that closes nobody up to the former peak, while it refuses all new requests. */
    @Test
    fun `the account is searched again after served requests have filled it`() {
        val memory = PeerMemory(PeerLimits(64 * MIB, 200), clockOf { 0 })
        val closed = mutableListOf<String>()
        fun share(name: String) = checkNotNull(memory.openOrNull({ 0 }) { closed += name })
        val served = (1..100).map { share("served") }
        served.forEach {
            it.isServed = true
            it.hold(MIB)
        }
        expectThat(memory.isFull).isEqualTo(true)
        served.forEach { it.hold(-MIB) }
        share("crowd").hold(65 * MIB)
        expectThat(closed).isEqualTo(mutableListOf("crowd"))
        expectThat(memory.isFull).isFalse()
    }

    /** Guards against defaults that callers inside the limits meet in the deployments. */
    @Test
    fun `the bounds of a VM bear many requests of the greatest size`() {
        val limits = peerLimitsOf(heapBytes = 112 * MIB, directBytes = 48 * MIB, descriptors = 4_100)
        expectThat(limits).isEqualTo(PeerLimits(24 * MIB, 3_000))
        expectThat(peerLimitsOf(8 * MIB, 8 * MIB, null).heldBytes).isEqualTo(4 * MIB)
    }

    /** Guards against a served request that is cut off, and against an account that stays full with served requests. */
    @Test
    fun `a served request is kept unless it holds much or its caller does not read`() {
        val memory = PeerMemory(PeerLimits(64 * MIB, 10), clockOf { 0 })
        val closed = mutableListOf<String>()
        fun share(name: String, unwrittenBytes: Long = 0) =
            checkNotNull(memory.openOrNull({ unwrittenBytes }) { closed += name })
        val served = share("served").apply { isServed = true }
        val unread = share("unread", unwrittenBytes = 10 * MIB).apply { isServed = true }
        served.hold(MIB)
        unread.hold(MIB)
        val body = share("body")
        body.hold(63 * MIB)
        expectThat(closed.toList()).isEqualTo(listOf("body"))
        expectThat(memory.isFull).isFalse()
        expectThat(memory.heldBytes).isEqualTo(12 * MIB)
        repeat(6) { share("great $it").apply { isServed = true }.hold(10 * MIB) }
        expectThat(closed.toList()).isEqualTo(listOf("body", "unread", "great 0"))
    }
}
