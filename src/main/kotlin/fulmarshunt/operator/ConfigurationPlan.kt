/*
 * The changes that bring the configuration in effect to the state described by the answers of a team. A part that is
 * already in that state needs no change, so submitting the same answers again is safe.
 */
package fulmarshunt.operator

import fulmarshunt.ClientAccountId
import fulmarshunt.process.Secret

/** A new key, which is shown only once. */
public data class IssuedKey(
    /** The client account or operator to which the key belongs, for display. */
    public val holder: String,
    public val key: Secret,
)

/** The changes that the answers of a team require, and the new keys for them. */
public data class ConfigurationPlan(public val changes: List<ConfigurationChange>, public val issued: List<IssuedKey>)

/** Returns the changes from this configuration to [answers]; [newKey] generates keys for new accounts and operators. */
public fun Configuration.plan(answers: Answers, newKey: KeySource): ConfigurationPlan {
    val issued = mutableListOf<IssuedKey>()
    val issue = { holder: String -> newKey().also { issued += IssuedKey(holder, it) }.let(::keySha256) }
    val changes =
        answers.failureDomains.mapNotNull { planDomainOrNull(it) } +
            answers.services.mapNotNull { planServiceOrNull(it) } +
            listOfNotNull(planWeightStoreOrNull(answers)) +
            answers.accounts.mapNotNull { planAccountOrNull(it, issue) } +
            answers.operators.mapNotNull { planOperatorOrNull(it, issue) } +
            answers.remove.accounts.filter { it in accounts }.map(::RemoveClientAccount) +
            answers.remove.services.filter { it in services }.map(::RemoveService) +
            answers.remove.operators.filter { it in operators }.map(::RemoveOperator)
    return ConfigurationPlan(changes, issued)
}

/**
 * Returns the first account in [answers] whose key belongs to another existing account, and that account, or null. A
 * shared key would not identify the account of a request.
 */
public fun Configuration.findKeyConflict(answers: Answers): Pair<ClientAccountId, ClientAccountId>? =
    answers.accounts.firstNotNullOfOrNull { answer ->
        accounts.values
            .firstOrNull { it.keySha256 == answer.keySha256 && it.id != answer.name }
            ?.let { answer.name to it.id }
    }

private fun Configuration.planDomainOrNull(answer: FailureDomainAnswer): ConfigurationChange? {
    val existing = domains[answer.name]
    val desired = FailureDomain(answer.name, answer.region, existing?.isDrained ?: false, answer.shards)
    return if (desired == existing) null else PutFailureDomain(desired)
}

private fun Configuration.planServiceOrNull(answer: ServiceAnswer): ConfigurationChange? {
    val existing = services[answer.name]
    // Calls that run at most once must not become repeatable because an answer does not mention them.
    val kept = existing?.nonRepeatable.orEmpty().filter { answer.kind == ServiceKind.PLAIN }
    val rules = answer.nonRepeatable?.map { NonRepeatableRule(it.method, it.pathPrefix) } ?: kept
    val desired =
        Service(answer.name, answer.kind, rules, answer.shortMaxTokens, answer.defaultMaxTokens, answer.weightBytes)
    return if (desired == existing) null else PutService(desired)
}

private fun Configuration.planWeightStoreOrNull(answers: Answers): ConfigurationChange? =
    answers.weightStoreBytesPerSecond
        ?.takeIf { it != weightStoreBytesPerSecond }
        ?.let(::SetWeightStoreRate)

private fun Configuration.planAccountOrNull(answer: AccountAnswer, issue: (String) -> String): ConfigurationChange? {
    val existing = accounts[answer.name]
    val hash = answer.keySha256 ?: existing?.keySha256 ?: issue("client account ${answer.name}")
    val desired =
        ClientAccount(answer.name, hash, answer.weight, answer.maxRequestsPerSecond, answer.maxConcurrentRequests)
    return if (desired == existing) null else PutClientAccount(desired)
}

private fun Configuration.planOperatorOrNull(answer: OperatorAnswer, issue: (String) -> String): ConfigurationChange? {
    val existing = operators[answer.name]
    val hash = answer.keySha256 ?: existing?.keySha256 ?: issue("operator ${answer.name}")
    val desired = Operator(answer.name, hash, answer.permissions)
    return if (desired == existing) null else PutOperator(desired)
}
