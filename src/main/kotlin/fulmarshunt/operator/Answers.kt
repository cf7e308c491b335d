/*
 * What a joining team answers in the questionnaire. Answers say how the team's part of the configuration should be;
 * they do not mention the parts of other teams, which stay as they are.
 */
package fulmarshunt.operator

import fulmarshunt.ClientAccountId
import fulmarshunt.FailureDomainId
import fulmarshunt.OperatorId
import fulmarshunt.ServiceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A client account as the team wants it. */
@Serializable
public data class AccountAnswer(
    public val name: ClientAccountId,
    public val weight: Double = 1.0,
    @SerialName("max_requests_per_second")
    public val maxRequestsPerSecond: Double = 100.0,
    @SerialName("max_concurrent_requests")
    public val maxConcurrentRequests: Int = 256,
    /** The hash of a key that the account has already; without it, a new account gets a new key. */
    @SerialName("key_sha256")
    public val keySha256: String? = null,
)

/** A call that must run at most once. */
@Serializable
public data class NonRepeatableAnswer(
    public val method: String = "*",
    @SerialName("path_prefix")
    public val pathPrefix: String,
)

/** A service as the team wants it. */
@Serializable
public data class ServiceAnswer(
    public val name: ServiceId,
    public val kind: ServiceKind,
    @SerialName("non_repeatable")
    public val nonRepeatable: List<NonRepeatableAnswer> = emptyList(),
    @SerialName("short_max_tokens")
    public val shortMaxTokens: Int = 32,
    @SerialName("default_max_tokens")
    public val defaultMaxTokens: Int = 4_096,
    @SerialName("weight_bytes")
    public val weightBytes: Long = 0,
)

/** A failure domain as the team wants it. */
@Serializable
public data class FailureDomainAnswer(
    public val name: FailureDomainId,
    public val region: String = "default",
    public val shards: Int = 1,
)

/** An operator as the team wants it. */
@Serializable
public data class OperatorAnswer(
    public val name: OperatorId,
    public val permissions: Set<Permission>,
    /** The hash of a key that the operator has already; without it, a new operator gets a new key. */
    @SerialName("key_sha256")
    public val keySha256: String? = null,
)

/** What the team wants removed; ids that do not exist are removed already. */
@Serializable
public data class RemovalAnswer(
    public val accounts: List<ClientAccountId> = emptyList(),
    public val services: List<ServiceId> = emptyList(),
    public val operators: List<OperatorId> = emptyList(),
)

/** All answers of a team. */
@Serializable
public data class Answers(
    /** The team, for the audit trail. */
    public val team: String,
    public val accounts: List<AccountAnswer> = emptyList(),
    public val services: List<ServiceAnswer> = emptyList(),
    @SerialName("failure_domains")
    public val failureDomains: List<FailureDomainAnswer> = emptyList(),
    public val operators: List<OperatorAnswer> = emptyList(),
    /** The rate of the weight store, which all teams share; without it, the rate stays as it is. */
    @SerialName("weight_store_bytes_per_second")
    public val weightStoreBytesPerSecond: Long? = null,
    public val remove: RemovalAnswer = RemovalAnswer(),
)
