/*
 * Decoding of the header `Retry-After` of targets: a number of seconds, which may have a fraction, or a date. A date is
 * compared with the date of the response, because the clocks of VMs differ, or with the clock of this VM if the
 * response has none: a server without a clock sends none. Values that are neither are ignored.
 */
package fulmarshunt.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import fulmarshunt.process.LimitedLog
import fulmarshunt.wallClock
import io.netty.handler.codec.http.HttpHeaders
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import java.time.DateTimeException
import java.time.Duration
import java.time.Instant
import java.time.ZonedDateTime
import java.time.format.DateTimeFormatter

private val MS_PER_S = 1_000.toBigDecimal()

/** Longer values are shown cut off in the log. */
private const val MAX_LOGGED_CHARACTERS = 40

private val secondsPattern = Regex("[0-9]{1,15}(\\.[0-9]{1,9})?")

private val clock = wallClock()

private val log = LimitedLog(LogManager.getLogger("fulmarshunt.platform.RetryAfter"))

/** Returns the time that a response with [headers] asks for, or null; a value that cannot be used is logged. */
internal fun readRetryAfterMs(headers: HttpHeaders): Long? {
    val value = headers.get(HeaderName.RETRY_AFTER) ?: return null
    return parseRetryAfterMs(value, headers.get(HeaderName.DATE), Instant.ofEpochMilli(clock.nowMs())).fold(
        { problem ->
            log.log(Level.WARN, "retry-after ignored value=${value.take(MAX_LOGGED_CHARACTERS)} problem=$problem")
            null
        },
        { it },
    )
}

/** Parses the [value] of a response that was sent at [date] and came at [now]; on the left is why it is not used. */
internal fun parseRetryAfterMs(value: String, date: String?, now: Instant): Either<String, Long> {
    val text = value.trim()
    if (secondsPattern.matches(text)) return (text.toBigDecimal() * MS_PER_S).toLong().right()
    val retryAt = parseDateOrNull(text) ?: return "neither seconds nor a date".left()
    val sentAt = date?.let { parseDateOrNull(it.trim()) }?.toInstant() ?: now
    val waitMs = Duration.between(sentAt, retryAt.toInstant()).toMillis()
    return if (waitMs < 0) "a date before that of the response".left() else waitMs.right()
}

private fun parseDateOrNull(text: String): ZonedDateTime? = try {
    ZonedDateTime.parse(text, DateTimeFormatter.RFC_1123_DATE_TIME)
} catch (_: DateTimeException) {
    null
}
