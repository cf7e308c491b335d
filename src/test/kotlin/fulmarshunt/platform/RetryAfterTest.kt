/*
 * The values of `Retry-After` that targets may send.
 */
package fulmarshunt.platform

import arrow.core.right
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

class RetryAfterTest {
    private val sentAt = "Sat, 05 Dec 2026 10:00:00 GMT"

    /** Guards against fractions that are cut off, after which a target gets requests too early. */
    @Test
    fun `seconds may have a fraction`() {
        expectThat(parseRetryAfterMs("30", null)).isEqualTo(30_000L.right())
        expectThat(parseRetryAfterMs(" 0.35 ", null)).isEqualTo(350L.right())
        expectThat(parseRetryAfterMs("0", null)).isEqualTo(0L.right())
        expectThat(parseRetryAfterMs("999999999999999", null)).isEqualTo(999_999_999_999_999_000L.right())
    }

    /** Guards against a wait that is as wrong as the clock of this VM. */
    @Test
    fun `a date counts from the date of the response`() {
        expectThat(parseRetryAfterMs("Sat, 05 Dec 2026 10:00:20 GMT", sentAt)).isEqualTo(20_000L.right())
        expectThat(parseRetryAfterMs("Sat, 05 Dec 2026 10:00:20 GMT", null).isLeft()).isTrue()
        expectThat(parseRetryAfterMs("Sat, 05 Dec 2026 09:00:00 GMT", sentAt).isLeft()).isTrue()
    }

    /** Guards against values that are no time, which must neither end the request nor take the target out. */
    @Test
    fun `other values are not used`() {
        val values = listOf(
            "", "-1", "-0.5", "NaN", "Infinity", "1e9", "0x10", "1,5", "soon", "9".repeat(400), "1.", ".5",
            "Sat, 99 Dec 2026 10:00:20 GMT", "2026-12-05T10:00:20Z",
        )
        values.forEach { expectThat(parseRetryAfterMs(it, sentAt).isLeft()).describedAs(it).isTrue() }
    }
}
