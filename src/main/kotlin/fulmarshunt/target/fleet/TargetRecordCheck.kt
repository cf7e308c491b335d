/*
 * Validates the records of targets, which may come from any writer or from a process of another version. An invalid
 * record names no target to use and replaces no other record.
 */
package fulmarshunt.target.fleet

import fulmarshunt.isUnicastEndpoint

/** Returns the first problem that makes this record unusable, or null if it is valid. */
public fun TargetRecord.problemOrNull(): String? = when {
    !address.isUnicastEndpoint() -> "the address $address is not the IPv4 number of a VM and a port"
    else -> null
}
