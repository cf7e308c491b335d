/*
 * The lines that fleet programs log, with a reader that does not read.
 */
package fulmarshunt.process

import org.apache.logging.log4j.Level
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import strikt.assertions.matches
import java.io.ByteArrayOutputStream
import java.io.OutputStream
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

private const val LIMIT_MS = 5_000L

class LineLoggingTest {
    private val output = ByteArrayOutputStream()

    private fun context(output: OutputStream = this.output, maxWaiting: Int = 100) =
        LineLogContext(Level.INFO, LineWriter(output, maxWaiting))

    private fun lines() = output.toString().lines().filter { it.isNotEmpty() }

    /** Guards against lines without the parts by which a request is traced, and events that take several lines. */
    @Test
    fun `each event is one line`() {
        val context = context()
        val log = context.getLogger("fulmarshunt.caller.relay.RequestRelay")
        log.info("request ended id={} tookMs={}", "r1", 12)
        log.warn("odd\nmessage", IllegalStateException("broken\nhere"))
        log.debug("not written")
        context.terminate()
        expectThat(lines()).hasSize(2)
        expectThat(lines()[0]) {
            matches(Regex("time=\\d{4}-\\d{2}-\\d{2}T\\d{2}:\\d{2}:\\d{2}\\.\\d{3} level=INFO logger=RequestRelay .*"))
            endsWith("event=request ended id=r1 tookMs=12")
        }
        expectThat(lines()[1]) {
            contains("event=odd|message exception=java.lang.IllegalStateException: broken|here at LineLoggingTest.kt:")
        }
    }

    /** Guards against the reports of a library of each connection that breaks. */
    @Test
    fun `Netty logs errors only`() {
        val context = context()
        expectThat(context.getLogger("io.netty.channel.Channel").isWarnEnabled).isFalse()
        expectThat(context.getLogger("io.netty.channel.Channel").isErrorEnabled).isTrue()
        expectThat(context.getLogger("fulmarshunt.Other").isInfoEnabled).isTrue()
    }

    /** Guards against requests that wait for a slow reader of the log, and lines that are lost without a trace. */
    @Test
    fun `a reader that does not read delays nobody`() {
        val mayWrite = CountDownLatch(1)
        val slow = object : OutputStream() {
            override fun write(byte: Int) {
                mayWrite.await()
                output.write(byte)
            }
        }
        val context = context(slow, maxWaiting = 10)
        val log = context.getLogger("fulmarshunt.Some")
        val startedNanos = System.nanoTime()
        repeat(1_000) { log.info("line {}", it) }
        expectThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos)).isLessThan(LIMIT_MS)
        mayWrite.countDown()
        context.terminate()
        val dropped = lines().filter { it.startsWith("event=lines dropped") }
            .sumOf { it.substringAfter("count=").toInt() }
        expectThat(dropped).isGreaterThan(900)
        expectThat(dropped + lines().count { it.contains("event=line ") }).isEqualTo(1_000)
    }
}
