/*
 * From the answers of a team to the changes that bring the configuration in effect to what they say. A part that is
 * already as answered needs no change, so the same answers can be given again at any time.
 */
package fulmarshunt.operator

import fulmarshunt.ClientAccountId
import fulmarshunt.process.Secret

/** A new key, to be shown once. */
public data class IssuedKey(
    /** The client account or operator that the key belongs to, for display. */
    public val holder: String,
    public val key: Secret,
)

/** The changes that the answers of a team require. */
public data class ConfigurationPlan(public val changes: List<ConfigurationChange>, public val issued: List<IssuedKey>)

/** Returns the changes from this configuration to [answers]; [newKey] makes the keys of new accounts and operators. */
public fun Configuration.plan(answers: Answers, newKey: KeySource): ConfigurationPlan {
    val issued = mutableListOf<IssuedKey>()
    val issue = { holder: String -> newKey().also { issued += IssuedKey(holder, it) }.let(::keySha256) }
    val changes =
        answers.failureDomains.mapNotNull { planDomain(it) } +
            answers.services.mapNotNull { planService(it) } +
            listOfNotNull(planWeightStore(answers)) +
            answers.accounts.mapNotNull { planAccount(it, issue) } +
            answers.operators.mapNotNull { planOperator(it, issue) } +
            answers.remove.accounts.filter { it in accounts }.map(::RemoveClientAccount) +
            answers.remove.services.filter { it in services }.map(::RemoveService) +
            answers.remove.operators.filter { it in operators }.map(::RemoveOperator)
    return ConfigurationPlan(changes, issued)
}

/** Returns the account, not among [answers], that already has one of their keys; its requests would be ambiguous. */
public fun Configuration.findKeyConflict(answers: Answers): Pair<ClientAccountId, ClientAccountId>? =
    answers.accounts.firstNotNullOfOrNull { answer ->
        accounts.values
            .firstOrNull { it.keySha256 == answer.keySha256 && it.id != answer.name }
            ?.let { answer.name to it.id }
    }

private fun Configuration.planDomain(answer: FailureDomainAnswer): ConfigurationChange? {
    val existing = domains[answer.name]
    val wanted = FailureDomain(answer.name, answer.region, existing?.isDrained ?: false, answer.shards)
    return if (wanted == existing) null else PutFailureDomain(wanted)
}

private fun Configuration.planService(answer: ServiceAnswer): ConfigurationChange? {
    val rules = answer.nonRepeatable.map { NonRepeatableRule(it.method, it.pathPrefix) }
    val wanted =
        Service(answer.name, answer.kind, rules, answer.shortMaxTokens, answer.defaultMaxTokens, answer.weightBytes)
    return if (wanted == services[answer.name]) null else PutService(wanted)
}

private fun Configuration.planWeightStore(answers: Answers): ConfigurationChange? = answers.weightStoreBytesPerSecond
    ?.takeIf { it != weightStoreBytesPerSecond }
    ?.let(::SetWeightStoreRate)

private fun Configuration.planAccount(answer: AccountAnswer, issue: (String) -> String): ConfigurationChange? {
    val existing = accounts[answer.name]
    val hash = answer.keySha256 ?: existing?.keySha256 ?: issue("client account ${answer.name}")
    val wanted =
        ClientAccount(answer.name, hash, answer.weight, answer.maxRequestsPerSecond, answer.maxConcurrentRequests)
    return if (wanted == existing) null else PutClientAccount(wanted)
}

private fun Configuration.planOperator(answer: OperatorAnswer, issue: (String) -> String): ConfigurationChange? {
    val existing = operators[answer.name]
    val hash = answer.keySha256 ?: existing?.keySha256 ?: issue("operator ${answer.name}")
    val wanted = Operator(answer.name, hash, answer.permissions)
    return if (wanted == existing) null else PutOperator(wanted)
}
