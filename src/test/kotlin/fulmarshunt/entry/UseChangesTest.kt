/*
 * The use of targets as it is sent to one receiver, with messages that are lost.
 */
package fulmarshunt.entry

import fulmarshunt.TargetId
import fulmarshunt.entry.watch.SentUse
import fulmarshunt.entry.watch.withChanges
import fulmarshunt.target.fleet.TargetUse
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

class UseChangesTest {
    private fun use(vararg running: Pair<String, Int>) =
        running.associate { (target, count) -> TargetId(target) to TargetUse(count, count * 100L, 0) }

    /** Guards against messages that repeat what the receiver has, and changes to a use that it does not have. */
    @Test
    fun `only what has changed is sent to a receiver that has the rest`() {
        val sent = SentUse()
        val first = sent.messageFor(null, use("a" to 1, "b" to 2))
        expectThat(first.changes).isNull()
        expectThat(sent.isChange(first.number, use("a" to 1, "b" to 2))).isFalse()
        expectThat(sent.messageFor(first.number, use("a" to 1, "b" to 2)).use).isEmpty()
        expectThat(sent.isChange(first.number, use("b" to 3))).isTrue()
        val second = sent.messageFor(first.number, use("b" to 3))
        expectThat(second.changes).isEqualTo(first.number)
        expectThat(second.use).isEqualTo(use("b" to 3) + (TargetId("a") to TargetUse(0, 0, 0)))
        val third = sent.messageFor(first.number, use("b" to 3))
        expectThat(third.changes).isNull()
        expectThat(third.use).isEqualTo(use("b" to 3))
    }

    /** Guards against a receiver whose use differs from the sender's after messages or replies were lost. */
    @Property(tries = 300)
    fun `a receiver has what was sent last, whichever messages are lost`(
        @ForAll @Size(max = 20) steps: List<
            @IntRange(min = 0, max = 255)
            Int,
            >,
    ) {
        val sent = SentUse()
        var received: Long? = null
        var atReceiver = use()
        for (step in steps) {
            val current = use("a" to step % 3, "b" to step / 3 % 3, "c" to step / 9 % 3).filterValues { it.running > 0 }
            val message = sent.messageFor(received, current)
            val isLost = step and 128 != 0
            if (isLost) continue
            atReceiver = if (message.changes == null) message.use else atReceiver.withChanges(message.use)
            received = message.number
            expectThat(atReceiver).isEqualTo(current)
        }
    }
}
