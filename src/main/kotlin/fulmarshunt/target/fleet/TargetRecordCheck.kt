/*
 * Validates the records of targets, which may come from any writer or from a process of another version. An invalid
 * record names no target to use and replaces no other record.
 */
package fulmarshunt.target.fleet

import fulmarshunt.TargetId
import fulmarshunt.isUnicastEndpoint

/** Larger numbers of slots are taken for errors: a target with room for any number of requests would get them all. */
private const val MAX_SLOTS = 100_000

/** Longer cold times are taken for errors; targets are cold for seconds. */
private const val MAX_COLD_MS = 3_600_000L

/** The greatest sequence number and start time; the next number never overflows, and JSON writers are exact to it. */
private const val MAX_EXACT_NUMBER = 1L shl 53

/** How far the clock of a target may be ahead; the clocks of VMs differ by some seconds at most. */
private const val MAX_CLOCK_LEAD_MS = 60_000L

/** Ids and names are passed on to all VMs. */
private const val MAX_NAME_CHARACTERS = 128

/** The characters that a path carries without an encoding, so that an id has only one spelling. */
private val idPattern = Regex("[A-Za-z0-9._~:@-]{1,$MAX_NAME_CHARACTERS}")

/** Returns the problem that makes this id unusable, or null if it is valid. */
public fun TargetId.problemOrNull(): String? = when {
    !idPattern.matches(value) -> "the id is not of 1 to $MAX_NAME_CHARACTERS letters, digits and . _ ~ : @ -"
    value.all { it == '.' } -> "the id is a relative path"
    else -> null
}

/** Returns the first problem that makes this record unusable, or null if it is valid. */
public fun TargetRecord.problemOrNull(): String? = id.problemOrNull() ?: when {
    !isName(service.value) -> "the service is empty, too long or not printable"
    version != null && !isName(version.value) -> "the version is empty, too long or not printable"
    !isName(domain.value) -> "the failure domain is empty, too long or not printable"
    !address.isUnicastEndpoint() -> "the address $address is not the IPv4 number of a VM and a port"
    slots !in 0..MAX_SLOTS -> "the number of slots $slots is not in 0..$MAX_SLOTS"
    coldForMs !in 0..MAX_COLD_MS -> "the cold time of $coldForMs ms is not in 0..$MAX_COLD_MS"
    startedAtMs !in 0..MAX_EXACT_NUMBER -> "the start time $startedAtMs is out of range"
    sequence !in 0..MAX_EXACT_NUMBER -> "the sequence number $sequence is out of range"
    else -> null
}

/**
 * Returns why no target can have announced this record before [nowMs], the time since the Unix epoch, or null. Each
 * later announcement of the target itself would count as older than such a record.
 */
public fun TargetRecord.timeProblemOrNull(nowMs: Long): String? =
    startTimeProblemOrNull(startedAtMs, nowMs) ?: if (sequence > nowMs + MAX_CLOCK_LEAD_MS - startedAtMs) {
        "the sequence number $sequence exceeds the milliseconds since the start"
    } else {
        null
    }

/** Returns why no target can have started at [startedAtMs] before [nowMs], or null; both since the Unix epoch. */
public fun startTimeProblemOrNull(startedAtMs: Long, nowMs: Long): String? =
    if (startedAtMs in 0..nowMs + MAX_CLOCK_LEAD_MS) null else "the start time $startedAtMs is not in the past"

private fun isName(text: String) =
    text.isNotBlank() && text.length <= MAX_NAME_CHARACTERS && text.none { it.isISOControl() }
