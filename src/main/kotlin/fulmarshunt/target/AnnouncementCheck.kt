/*
 * Validates the contents of announcements. Each problem is one line that names the field.
 */
package fulmarshunt.target

import fulmarshunt.operator.Configuration

private val PORTS = 1..65_535

/** Returns the first problem of this announcement, or null if it is valid. */
public fun TargetAnnouncement.problemOrNull(configuration: Configuration): String? = when {
    target.value.isBlank() -> "target: is empty"
    address.host.isBlank() -> "address.host: is empty"
    address.port !in PORTS -> "address.port: ${address.port} is not in $PORTS"
    domain !in configuration.domains -> "failure_domain: \"$domain\" is not configured"
    // An engine that accepts load orders may have no service yet, or be replacing its only one.
    services.isEmpty() && maxServices == 0 -> "services: is empty"
    maxServices < 0 -> "max_services: $maxServices is negative"
    kind == TargetKind.PLAIN && maxServices != 0 -> "max_services: is for engines only"
    startLimit < 1 -> "start_limit: $startLimit is less than 1"
    fullLimit < startLimit -> "full_limit: $fullLimit is less than start_limit"
    memoryTokens < 0 -> "memory_tokens: $memoryTokens is negative"
    kind == TargetKind.ENGINE && memoryTokens == 0L -> "memory_tokens: is missing for an engine"
    load.usedTokens < 0 -> "load.used_tokens: ${load.usedTokens} is negative"
    load.running < 0 -> "load.running: ${load.running} is negative"
    load.waiting < 0 -> "load.waiting: ${load.waiting} is negative"
    load.preemptions < 0 -> "load.preemptions: ${load.preemptions} is negative"
    else -> null
}
