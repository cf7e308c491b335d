/*
 * The difference between two configurations as text for operators. Key hashes are shortened: eight digits are enough to
 * see that a key changed.
 */
package fulmarshunt.operator

private const val SHOWN_HASH_CHARACTERS = 8

/** Returns a line for each part that differs, marked `+` if added, `-` if removed and `~` if changed. */
public fun describeDifference(before: Configuration, after: Configuration): List<String> =
    differenceOf("failure domain", before.domains, after.domains, ::describe) +
        differenceOf("service", before.services, after.services, ::describe) +
        differenceOf("client account", before.accounts, after.accounts, ::describe) +
        differenceOf("operator", before.operators, after.operators, ::describe) +
        (after.drainedTargets - before.drainedTargets).map { "+ drained target $it" } +
        (before.drainedTargets - after.drainedTargets).map { "- drained target $it" } +
        differenceOf("weight store", weightStore(before), weightStore(after)) { mapOf("bytes/s" to "$it") }

/** Returns this configuration with all of [changes] applied and the same revision. */
public fun Configuration.withAll(changes: List<ConfigurationChange>): Configuration =
    changes.fold(this) { current, change -> current.with(change) }

/** Returns the rate of the weight store as the only part of a map, which is empty while the rate is unknown. */
private fun weightStore(configuration: Configuration): Map<String, Long> =
    mapOf("rate" to configuration.weightStoreBytesPerSecond).filterValues { it != 0L }

private fun <K, V> differenceOf(
    kind: String,
    before: Map<K, V>,
    after: Map<K, V>,
    describe: (V) -> Map<String, String>,
): List<String> = (before.keys + after.keys).sortedBy { it.toString() }.mapNotNull { id ->
    val old = before[id]
    val new = after[id]
    when {
        old == new -> null
        old == null -> "+ $kind $id: ${new?.let { formatAll(describe(it)) }}"
        new == null -> "- $kind $id"
        else -> "~ $kind $id: ${formatChanged(describe(old), describe(new))}"
    }
}

private fun formatAll(fields: Map<String, String>): String = fields.entries.joinToString { "${it.key} ${it.value}" }

private fun formatChanged(old: Map<String, String>, new: Map<String, String>): String = new.entries
    .filter { old[it.key] != it.value }
    .joinToString { "${it.key} ${old[it.key]} -> ${it.value}" }

private fun describe(account: ClientAccount): Map<String, String> = mapOf(
    "weight" to "${account.weight}",
    "requests/s" to "${account.maxRequestsPerSecond}",
    "concurrent requests" to "${account.maxConcurrentRequests}",
    "key hash" to account.keySha256.take(SHOWN_HASH_CHARACTERS),
)

private fun describe(service: Service): Map<String, String> = mapOf(
    "kind" to service.kind.name.lowercase(),
    "non-repeatable" to service.nonRepeatable.joinToString("; ", "[", "]") { "${it.method} ${it.pathPrefix}" },
    "short up to tokens" to "${service.shortMaxTokens}",
    "default tokens" to "${service.defaultMaxTokens}",
    "weight bytes" to "${service.weightBytes}",
)

private fun describe(domain: FailureDomain): Map<String, String> = mapOf(
    "region" to domain.region,
    "shards" to "${domain.shards}",
    "drained" to if (domain.isDrained) "yes" else "no",
)

private fun describe(operator: Operator): Map<String, String> = mapOf(
    "permissions" to operator.permissions.map { it.name.lowercase() }.sorted().joinToString("; ", "[", "]"),
    "key hash" to operator.keySha256.take(SHOWN_HASH_CHARACTERS),
)

/** Returns what [change] does, in a few words. */
public fun describe(change: ConfigurationChange): String = when (change) {
    is PutClientAccount -> "put client account ${change.account.id}"
    is RemoveClientAccount -> "remove client account ${change.id}"
    is PutService -> "put service ${change.service.id}"
    is RemoveService -> "remove service ${change.id}"
    is PutFailureDomain -> "put failure domain ${change.domain.id}"
    is SetFailureDomainDrained -> "${if (change.isDrained) "drain" else "restore"} failure domain ${change.id}"
    is SetTargetDrained -> "${if (change.isDrained) "drain" else "restore"} target ${change.id}"
    is PutOperator -> "put operator ${change.operator.id}"
    is RemoveOperator -> "remove operator ${change.id}"
    is SetWeightStoreRate -> "set the weight store rate to ${change.bytesPerSecond} bytes/s"
}
