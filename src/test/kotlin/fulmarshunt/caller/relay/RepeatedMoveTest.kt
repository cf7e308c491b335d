/*
 * Runs of leaving targets that cannot be moved, because every last move fails.
 */
package fulmarshunt.caller.relay

import arrow.core.left
import arrow.core.right
import fulmarshunt.Address
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.BufferedInputStream
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

private const val EVENTS = 50
private const val EVENT_PERIOD_MS = 40L

@Timeout(60)
class RepeatedMoveTest {
    private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

    private fun events(range: IntRange) = range.joinToString("") { "id: $it\ndata: token $it\n\n" }

    /** Guards against a target that is asked to move a run again and again although every move fails. */
    @Test
    fun `a run that stays at its target after a refused move is moved no further`() {
        val stops = AtomicInteger()
        val serve: ScriptedTarget.RequestScope.() -> Unit = {
            val first = request.header("resume")?.substringAfter('@')?.toInt()?.plus(1) ?: 1
            val stopsBefore = stops.get()
            write("HTTP/1.1 200 OK\r\nid: r1\r\nstamp: 1\r\n\r\n")
            for (id in first..EVENTS) {
                if (stops.get() > stopsBefore) break
                write(events(id..id))
                Thread.sleep(EVENT_PERIOD_MS)
            }
            socket.close()
        }
        val body = withTwoTargets(serve) { a, b, relay ->
            relay.migrate = { _, _, _, isLast ->
                if (isLast) {
                    MoveFailure.Stopped("last${stops.incrementAndGet()}").left()
                } else {
                    Moved("copy", null).right()
                }
            }
            relay.streamOfLeaving(a, b)
        }
        expectThat(body).isEqualTo(events(1..EVENTS))
        expectThat(stops.get()).isEqualTo(1)
    }

    /** Guards against a run that is lost with its target because the first destination had no room. */
    @Test
    fun `a run whose first destination has no room moves to another one`() {
        val refusals = AtomicInteger()
        val serve: ScriptedTarget.RequestScope.() -> Unit = {
            val first = request.header("resume")?.substringAfter('@')?.toInt()?.plus(1) ?: 1
            write("HTTP/1.1 200 OK\r\nid: r1\r\nstamp: 1\r\ntransfer-encoding: chunked\r\n\r\n")
            for (id in first..EVENTS) {
                write(chunk(events(id..id)))
                Thread.sleep(EVENT_PERIOD_MS)
                if (first == 1 && stopped.get()) break
            }
            if (first == 1) socket.close() else write(chunk(""))
        }
        stopped.set(false)
        val asked = ConcurrentHashMap.newKeySet<Address>()
        val body = ScriptedTarget("c", serve).use { c ->
            withTwoTargets(serve) { a, b, _ ->
                RelayFixture(a, b, c).use { relay ->
                    relay.migrate = { _, _, destination, isLast ->
                        val isFirst = asked.isEmpty() || destination in asked && asked.size == 1
                        asked += destination
                        when {
                            isFirst -> MoveFailure.Rejected(503).left().also { refusals.incrementAndGet() }
                            else -> Moved("copy", null).right().also { if (isLast) stopped.set(true) }
                        }
                    }
                    relay.streamOfLeaving(a, b, c)
                }
            }
        }
        expectThat(body).isEqualTo(events(1..EVENTS))
        expectThat(refusals.get()).isEqualTo(1)
    }

    private val stopped = AtomicBoolean()

    private fun withTwoTargets(
        serve: ScriptedTarget.RequestScope.() -> Unit,
        play: (ScriptedTarget, ScriptedTarget, RelayFixture) -> String?,
    ) = ScriptedTarget("a", serve).use { a ->
        ScriptedTarget("b", serve).use { b -> RelayFixture(a, b).use { play(a, b, it) } }
    }

    /** Returns the stream of a run whose target announces that it leaves after the second event. */
    private fun RelayFixture.streamOfLeaving(vararg targets: ScriptedTarget): String? = connect().use { socket ->
        socket.getOutputStream().write(requestText("/stream/x", "").encodeToByteArray())
        val input = BufferedInputStream(socket.getInputStream())
        input.mark(65_536)
        val seen = StringBuilder()
        while ("token 2" !in seen) seen.append(input.read().toChar())
        leave(targets.first { it.requests.isNotEmpty() })
        input.reset()
        input.readMessageOrNull()?.body
    }
}
