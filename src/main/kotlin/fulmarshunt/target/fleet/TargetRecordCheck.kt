/*
 * Validates the records of targets, which may come from any writer or from a process of another version. An invalid
 * record names no target to use and replaces no other record.
 */
package fulmarshunt.target.fleet

import fulmarshunt.isUnicastEndpoint

/** Larger numbers of slots are taken for errors: a target with room for any number of requests would get them all. */
private const val MAX_SLOTS = 100_000

/** Longer cold times are taken for errors; targets are cold for seconds. */
private const val MAX_COLD_MS = 3_600_000L

/** Returns the first problem that makes this record unusable, or null if it is valid. */
public fun TargetRecord.problemOrNull(): String? = when {
    !address.isUnicastEndpoint() -> "the address $address is not the IPv4 number of a VM and a port"
    slots !in 0..MAX_SLOTS -> "the number of slots $slots is not in 0..$MAX_SLOTS"
    coldForMs !in 0..MAX_COLD_MS -> "the cold time of $coldForMs ms is not in 0..$MAX_COLD_MS"
    else -> null
}
