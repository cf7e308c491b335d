/*
 * Descriptions of configuration parts for the audit trail. Keys and complete key hashes are omitted; a short prefix of
 * the hash shows whether a key was replaced.
 */
package fulmarshunt.operator

/** The number of parts of one command that a record describes; further ones are only counted. */
private const val MAX_DESCRIBED_PARTS = 50

private const val MAX_DESCRIPTION_CHARS = 300
private const val KEY_PREFIX_CHARS = 8

/** Describes the parts of [configuration] that [changes] affect; parts that do not exist are omitted. */
internal fun describeParts(configuration: Configuration, changes: List<ConfigurationChange>): List<String> {
    val described = changes.take(MAX_DESCRIBED_PARTS).mapNotNull { describePartOrNull(configuration, it) }.distinct()
    val omittedCount = changes.size - MAX_DESCRIBED_PARTS
    return if (omittedCount > 0) described + "and $omittedCount more changes" else described
}

/** Describes [action] for the audit trail. */
internal fun describe(action: OperatorAction): String = when (action) {
    is VmShutdown -> "graceful shutdown of VM ${action.vm}"
    is VoterChange -> "change of voters: joining ${action.joining ?: "none"}, leaving ${action.leaving ?: "none"}"
}.take(MAX_DESCRIPTION_CHARS)

private fun describePartOrNull(configuration: Configuration, change: ConfigurationChange): String? = when (change) {
    is PutClientAccount -> configuration.accounts[change.account.id]?.let(::describe)
    is RemoveClientAccount -> configuration.accounts[change.id]?.let(::describe)
    is PutService -> configuration.services[change.service.id]?.let(::describe)
    is RemoveService -> configuration.services[change.id]?.let(::describe)
    is PutFailureDomain -> configuration.domains[change.domain.id]?.let(::describe)
    is SetFailureDomainDrained -> configuration.domains[change.id]?.let(::describe)
    is SetTargetDrained -> "target ${change.id}: drained ${change.id in configuration.drainedTargets}"
    is PutOperator -> configuration.operators[change.operator.id]?.let(::describe)
    is RemoveOperator -> configuration.operators[change.id]?.let(::describe)
    is SetWeightStoreRate -> "weight store: ${configuration.weightStoreBytesPerSecond} bytes/s"
}?.take(MAX_DESCRIPTION_CHARS)

private fun describe(account: ClientAccount) =
    "client account ${account.id}: key ${hashPrefix(account.keySha256)}, weight ${account.weight}, " +
        "${account.maxRequestsPerSecond} requests/s, ${account.maxConcurrentRequests} concurrent requests"

private fun describe(service: Service) =
    "service ${service.id}: ${service.kind.name.lowercase()}, short up to ${service.shortMaxTokens} tokens, " +
        "default ${service.defaultMaxTokens} tokens, ${service.weightBytes} weight bytes, not repeatable " +
        service.nonRepeatable.joinToString(prefix = "[", postfix = "]") { "${it.method} ${it.pathPrefix}" }

private fun describe(domain: FailureDomain) =
    "failure domain ${domain.id}: region ${domain.region}, drained ${domain.isDrained}, ${domain.shards} shards"

private fun describe(operator: Operator) =
    "operator ${operator.id}: key ${hashPrefix(operator.keySha256)}, permissions " +
        operator.permissions.sorted().joinToString(prefix = "[", postfix = "]") { it.name.lowercase() }

private fun hashPrefix(sha256: String) = "sha256:${sha256.take(KEY_PREFIX_CHARS)}"
