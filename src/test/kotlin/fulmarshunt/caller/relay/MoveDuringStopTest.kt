/*
 * Runs whose targets leave or are silent while the process of their entry VM stops.
 */
package fulmarshunt.caller.relay

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.io.BufferedInputStream
import java.util.concurrent.TimeUnit

/** Long enough for a move, and for the silence after which a run goes on from its copy. */
private const val REST_OF_RUN_MS = 900L
private const val SILENCE_MS = 1_400L
private const val SHORT_REMAINDER_MS = 1_450L
private const val LONG_REMAINDER_MS = 30_000L

@Timeout(60)
class MoveDuringStopTest {
    private fun events(range: IntRange) = range.joinToString("") { "id: $it\ndata: token $it\n\n" }

    /** Serves a run whose last events come after [pauseMs], and a continuation at once. */
    private fun ScriptedTarget.RequestScope.run(pauseMs: Long) {
        startStream()
        if (request.header("resume") == null) {
            (1..2).forEach { event(it) }
            // The end of the connection ends the run.
            socket.soTimeout = pauseMs.toInt()
            val hasEnded = runCatching { socket.getInputStream().read() < 0 }.getOrDefault(false)
            if (hasEnded) return
        }
        (3..4).forEach { event(it) }
        endStream()
    }

    /** Returns the body of a stream, and whether its run has gone on at another target; [change] follows two events. */
    private fun stream(pauseMs: Long, change: RelayFixture.(ScriptedTarget) -> Unit): Pair<String, Boolean> {
        val targets = listOf("a", "b").map { name -> ScriptedTarget(name) { run(pauseMs) } }
        try {
            RelayFixture(*targets.toTypedArray()).use { relay ->
                relay.connect().use { socket ->
                    val text = requestText("/stream/x", "body", "tokens: 10")
                    socket.getOutputStream().write(text.encodeToByteArray())
                    val input = BufferedInputStream(socket.getInputStream())
                    input.mark(65_536)
                    val seen = StringBuilder()
                    while ("token 2" !in seen) seen.append(input.read().toChar())
                    relay.change(targets.first { it.requests.isNotEmpty() })
                    input.reset()
                    val body = checkNotNull(input.readMessageOrNull()).body
                    return body to targets.any { target -> target.requests.any { it.header("resume") != null } }
                }
            }
        } finally {
            targets.forEach { it.close() }
        }
    }

    /** Guards against a stream that is lost with the process although its target served on for as long (LOST). */
    @Test
    fun `a run is not moved if its target serves on for as long as the process`() {
        val (body, hasMoved) = stream(REST_OF_RUN_MS) { target ->
            stop(SHORT_REMAINDER_MS)
            leave(target)
        }
        expectThat(body).isEqualTo(events(1..4))
        expectThat(hasMoved).isFalse()
    }

    /** Guards against a silent run that is given up for a continuation that may not begin before the process ends. */
    @Test
    fun `a silent run stays at its target shortly before the end of the process`() {
        val (body, hasMoved) = stream(SILENCE_MS) { stop(SHORT_REMAINDER_MS) }
        expectThat(body).isEqualTo(events(1..4))
        expectThat(hasMoved).isFalse()
    }

    /** Guards against streams that end with their targets while the process has time to move them. */
    @Test
    fun `a run is moved if it can end before the process does`() {
        val (body, hasMoved) = stream(TimeUnit.SECONDS.toMillis(5)) { target ->
            stop(LONG_REMAINDER_MS)
            leave(target)
        }
        expectThat(body).isEqualTo(events(1..4))
        expectThat(hasMoved).isTrue()
    }
}
