/*
 * The values of `Retry-After` that targets may send.
 */
package fulmarshunt.platform

import arrow.core.right
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.time.Instant

class RetryAfterTest {
    private val sentAt = "Sat, 05 Dec 2026 10:00:00 GMT"

    /** The clock of this VM is five seconds ahead of that of the target. */
    private val now = Instant.parse("2026-12-05T10:00:05Z")

    private fun parse(value: String, date: String?) = parseRetryAfterMs(value, date, now)

    /** Guards against fractions that are cut off, after which a target gets requests too early. */
    @Test
    fun `seconds may have a fraction`() {
        expectThat(parse("30", null)).isEqualTo(30_000L.right())
        expectThat(parse(" 0.35 ", null)).isEqualTo(350L.right())
        expectThat(parse("0", null)).isEqualTo(0L.right())
        expectThat(parse("999999999999999", null)).isEqualTo(999_999_999_999_999_000L.right())
    }

    /** Guards against a wait that is as wrong as the clock of this VM. */
    @Test
    fun `a date counts from the date of the response`() {
        expectThat(parse("Sat, 05 Dec 2026 10:00:20 GMT", sentAt)).isEqualTo(20_000L.right())
        expectThat(parse("Sat, 05 Dec 2026 09:00:00 GMT", sentAt).isLeft()).isTrue()
    }

    /** Guards against requests to a target that wants none, because it has no clock and leaves its date out. */
    @Test
    fun `a date in a response without one counts from now`() {
        expectThat(parse("Sat, 05 Dec 2026 10:00:20 GMT", null)).isEqualTo(15_000L.right())
        expectThat(parse("Sat, 05 Dec 2026 10:00:20 GMT", "yesterday")).isEqualTo(15_000L.right())
        expectThat(parse("Sat, 05 Dec 2026 10:00:04 GMT", null).isLeft()).isTrue()
    }

    /** Guards against values that are no time, which must neither end the request nor take the target out. */
    @Test
    fun `other values are not used`() {
        val values = listOf(
            "", "-1", "-0.5", "NaN", "Infinity", "1e9", "0x10", "1,5", "soon", "9".repeat(400), "1.", ".5",
            "Sat, 99 Dec 2026 10:00:20 GMT", "2026-12-05T10:00:20Z",
        )
        values.forEach { expectThat(parse(it, sentAt).isLeft()).describedAs(it).isTrue() }
    }
}
