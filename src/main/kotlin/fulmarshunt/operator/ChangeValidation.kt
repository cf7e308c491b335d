/*
 * Validation of configuration changes. Each problem is one line that starts with the path of the field.
 */
package fulmarshunt.operator

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import fulmarshunt.isSha256Hex

/** Keeps the configuration within one link frame: an account takes about 250 bytes. */
internal const val MAX_CLIENT_ACCOUNTS: Int = 12_000

/** The greatest number of services, failure domains, operators or drained targets. */
internal const val MAX_PARTS_PER_KIND: Int = 2_000

private const val MAX_ID_CHARS = 128

/** The number of changes up to which a linear search for key hashes is faster than building an index. */
private const val MAX_SEARCHED_CHANGES = 16
private const val MAX_SHARDS = 64

/** The greatest weight size and store rate. It is far above real values, and sums of such values do not overflow. */
internal const val MAX_BYTES: Long = 1_000_000_000_000_000
private val idPattern = Regex("[^\\s\\p{Cntrl}]+")
private val methodPattern = Regex("\\*|[A-Z]+")

/**
 * Validates [changes] one after another and applies them, without changing the revision.
 *
 * @return the changed configuration, or the first problem.
 */
internal fun Configuration.validated(changes: List<ConfigurationChange>): Either<String, Configuration> {
    if (changes.isEmpty()) return "changes: must not be empty".left()
    val keyHashOwners = KeyHashOwners(this, changes.size)
    var current = this
    changes.forEachIndexed { position, change ->
        val problem = current.problemOrNull(change) ?: keyHashOwners.assign(change)
        if (problem != null) return "changes[$position].$problem".left()
        current = current.with(change)
    }
    val problem = current.limitProblemOrNull(this)
    return if (problem == null) current.right() else problem.left()
}

private fun Configuration.problemOrNull(change: ConfigurationChange): String? = when (change) {
    is PutClientAccount -> problemOrNull(change.account)
    is RemoveClientAccount -> unknownIdProblemOrNull("client account", change.id.value, change.id in accounts)
    is PutService -> problemOrNull(change.service)
    is RemoveService -> unknownIdProblemOrNull("service", change.id.value, change.id in services)
    is PutFailureDomain -> problemOrNull(change.domain)
    is SetFailureDomainDrained -> unknownIdProblemOrNull("failure domain", change.id.value, change.id in domains)
    is SetTargetDrained -> idProblemOrNull("id", change.id.value)
    is PutOperator -> problemOrNull(change.operator)
    is RemoveOperator -> unknownIdProblemOrNull("operator", change.id.value, change.id in operators)
    is SetWeightStoreRate -> bytesProblemOrNull("bytesPerSecond", change.bytesPerSecond)
}

private fun problemOrNull(account: ClientAccount): String? = idProblemOrNull("account.id", account.id.value)
    ?: hashProblemOrNull("account.keySha256", account.keySha256)
    ?: positiveProblemOrNull("account.weight", account.weight)
    ?: positiveProblemOrNull("account.maxRequestsPerSecond", account.maxRequestsPerSecond)
    ?: positiveProblemOrNull("account.maxConcurrentRequests", account.maxConcurrentRequests.toDouble())

private fun problemOrNull(service: Service): String? = idProblemOrNull("service.id", service.id.value)
    ?: positiveProblemOrNull("service.shortMaxTokens", service.shortMaxTokens.toDouble())
    ?: positiveProblemOrNull("service.defaultMaxTokens", service.defaultMaxTokens.toDouble())
    ?: bytesProblemOrNull("service.weightBytes", service.weightBytes)
    ?: "service.weightBytes: must be 0 for a plain service"
        .takeIf { service.kind == ServiceKind.PLAIN && service.weightBytes != 0L }
    // The id of a plain service is one segment of the paths of its requests.
    ?: "service.id: must not contain \"/\"".takeIf { service.kind == ServiceKind.PLAIN && '/' in service.id.value }
    ?: "service.nonRepeatable: must be empty for a model"
        .takeIf { service.kind == ServiceKind.MODEL && service.nonRepeatable.isNotEmpty() }
    ?: service.nonRepeatable.withIndex().firstNotNullOfOrNull { (position, rule) ->
        val field = "service.nonRepeatable[$position]"
        when {
            !methodPattern.matches(rule.method) -> "$field.method: must be in upper case or \"*\""
            !rule.pathPrefix.startsWith('/') -> "$field.pathPrefix: must start with \"/\""
            else -> null
        }
    }

private fun problemOrNull(domain: FailureDomain): String? = idProblemOrNull("domain.id", domain.id.value)
    ?: "domain.id: must not contain \"/\"".takeIf { '/' in domain.id.value }
    ?: idProblemOrNull("domain.region", domain.region)
    ?: "domain.shards: must be between 1 and $MAX_SHARDS".takeIf { domain.shards !in 1..MAX_SHARDS }

private fun problemOrNull(operator: Operator): String? = idProblemOrNull("operator.id", operator.id.value)
    ?: hashProblemOrNull("operator.keySha256", operator.keySha256)

private fun Configuration.limitProblemOrNull(before: Configuration): String? = when {
    accounts.size > MAX_CLIENT_ACCOUNTS -> "accounts: there can be at most $MAX_CLIENT_ACCOUNTS"
    services.size > MAX_PARTS_PER_KIND -> "services: there can be at most $MAX_PARTS_PER_KIND"
    domains.size > MAX_PARTS_PER_KIND -> "domains: there can be at most $MAX_PARTS_PER_KIND"
    operators.size > MAX_PARTS_PER_KIND -> "operators: there can be at most $MAX_PARTS_PER_KIND"
    drainedTargets.size > MAX_PARTS_PER_KIND -> "drainedTargets: there can be at most $MAX_PARTS_PER_KIND"
    before.hasAdministrator && !hasAdministrator ->
        "operators: the last operator with permission \"administer\" cannot be removed"
    else -> null
}

private val Configuration.hasAdministrator get() = operators.values.any { Permission.ADMINISTER in it.permissions }

private fun idProblemOrNull(field: String, id: String): String? = when {
    id.length > MAX_ID_CHARS -> "$field: must have at most $MAX_ID_CHARS characters"
    !idPattern.matches(id) -> "$field: must not be empty or contain white space"
    else -> null
}

private fun hashProblemOrNull(field: String, sha256: String): String? =
    if (isSha256Hex(sha256)) null else "$field: must be 64 hexadecimal digits in lower case"

private fun positiveProblemOrNull(field: String, value: Double): String? =
    if (value > 0 && value.isFinite()) null else "$field: must be greater than 0"

private fun bytesProblemOrNull(field: String, bytes: Long): String? =
    if (bytes in 0..MAX_BYTES) null else "$field: must be between 0 and $MAX_BYTES"

private fun unknownIdProblemOrNull(kind: String, id: String, isKnown: Boolean): String? =
    if (isKnown) null else "id: $kind \"$id\" does not exist"

/** Tracks which client account or operator owns each key hash while the changes of one command are validated. */
private class KeyHashOwners(private val configuration: Configuration, changeCount: Int) {
    private val ownerByAddedHash = HashMap<String, String>()
    private val addedHashByOwner = HashMap<String, String>()
    private val replacedOwners = HashSet<String>()

    /** The owners by key hash; null for a few changes, for which building it takes longer than a search. */
    private val ownersByHash: Map<String, String>? =
        if (changeCount <= MAX_SEARCHED_CHANGES) null else originalOwners().toMap(HashMap())

    /** Assigns the key that [change] sets; returns a problem if another client account or operator has that key. */
    fun assign(change: ConfigurationChange): String? = when (change) {
        is PutClientAccount ->
            assign("account.keySha256", account(change.account.id.value), change.account.keySha256)
        is PutOperator -> assign("operator.keySha256", operator(change.operator.id.value), change.operator.keySha256)
        is RemoveClientAccount -> release(account(change.id.value))
        is RemoveOperator -> release(operator(change.id.value))
        else -> null
    }

    private fun assign(field: String, owner: String, sha256: String): String? {
        val other = ownerByAddedHash[sha256] ?: originalOwnerOrNull(sha256)?.takeIf { it !in replacedOwners }
        if (other != null && other != owner) return "$field: $other has the same key"
        release(owner)
        ownerByAddedHash[sha256] = owner
        addedHashByOwner[owner] = sha256
        return null
    }

    private fun release(owner: String): String? {
        replacedOwners += owner
        addedHashByOwner.remove(owner)?.let(ownerByAddedHash::remove)
        return null
    }

    private fun originalOwnerOrNull(sha256: String): String? = if (ownersByHash != null) {
        ownersByHash[sha256]
    } else {
        configuration.accounts.values.find { it.keySha256 == sha256 }?.let { account(it.id.value) }
            ?: configuration.operators.values.find { it.keySha256 == sha256 }?.let { operator(it.id.value) }
    }

    private fun originalOwners(): Sequence<Pair<String, String>> =
        configuration.accounts.values.asSequence().map { it.keySha256 to account(it.id.value) } +
            configuration.operators.values.asSequence().map { it.keySha256 to operator(it.id.value) }

    private fun account(id: String) = "client account \"$id\""

    private fun operator(id: String) = "operator \"$id\""
}
