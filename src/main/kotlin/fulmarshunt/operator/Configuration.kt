/*
 * The configuration that operators change by commands: client accounts, services, failure domains and operators. It is
 * an immutable value; [Configuration.with] applies one change. Entry VMs receive the changes of accepted commands in
 * order and hold the same value as the voters.
 */
package fulmarshunt.operator

import fulmarshunt.ClientAccountId
import fulmarshunt.FailureDomainId
import fulmarshunt.OperatorId
import fulmarshunt.Revision
import fulmarshunt.ServiceId
import fulmarshunt.TargetId
import fulmarshunt.putting
import fulmarshunt.removing
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A client account with its share and its limits. */
@Serializable
public data class ClientAccount(
    public val id: ClientAccountId,
    /** The hexadecimal SHA-256 of the API key; the key itself is never stored. */
    public val keySha256: String,
    /** The share of an overloaded pool, relative to other client accounts. */
    public val weight: Double = 1.0,
    /** The sustained request rate; the burst is one second of it. */
    public val maxRequestsPerSecond: Double = 100.0,
    /** The greatest number of requests that may be queued or running at one entry VM. */
    public val maxConcurrentRequests: Int = 256,
)

/** How a service responds. */
@Serializable
public enum class ServiceKind {
    /** A model behind an engine that streams tokens. */
    @SerialName("model")
    MODEL,

    /** An HTTP service whose requests are forwarded unchanged. */
    @SerialName("plain")
    PLAIN,
}

/** A rule for calls of a plain service that must run at most once. */
@Serializable
public data class NonRepeatableRule(
    /** The HTTP method in upper case, or `*` for any. */
    public val method: String,
    /** The start of the path below the service, such as `/bookings`. */
    public val pathPrefix: String,
)

/** A model or a plain service. */
@Serializable
public data class Service(
    public val id: ServiceId,
    public val kind: ServiceKind,
    /** The calls that must run at most once; empty for models. */
    public val nonRepeatable: List<NonRepeatableRule> = emptyList(),
    /** The output length in tokens up to which a request belongs to the short class. */
    public val shortMaxTokens: Int = 32,
    /** The output limit for requests that set none. */
    public val defaultMaxTokens: Int = 4_096,
    /** The size of a model's weights; 0 if unknown, in which case no engine is ordered to load the model. */
    public val weightBytes: Long = 0,
)

/** A failure domain and whether it may receive new requests. */
@Serializable
public data class FailureDomain(
    public val id: FailureDomainId,
    public val region: String = "default",
    /** Whether an operator has drained the failure domain. */
    public val isDrained: Boolean = false,
    /** The number of pools into which the targets of the failure domain are divided. */
    public val shards: Int = 1,
)

/** What an operator may do. */
@Serializable
public enum class Permission {
    /** Change client accounts and services. */
    @SerialName("configure")
    CONFIGURE,

    /** Drain and restore failure domains and targets, and shut VMs down. */
    @SerialName("operate")
    OPERATE,

    /** Change operators and voters. */
    @SerialName("administer")
    ADMINISTER,
}

/** A person or program that may submit commands. */
@Serializable
public data class Operator(
    public val id: OperatorId,
    /** The hexadecimal SHA-256 of the operator's key. */
    public val keySha256: String,
    public val permissions: Set<Permission>,
)

/** One step of a change to the configuration. */
@Serializable
public sealed interface ConfigurationChange

/** Adds or replaces a client account. */
@Serializable
@SerialName("put-account")
public data class PutClientAccount(public val account: ClientAccount) : ConfigurationChange

/** Removes a client account. */
@Serializable
@SerialName("remove-account")
public data class RemoveClientAccount(public val id: ClientAccountId) : ConfigurationChange

/** Adds or replaces a service. */
@Serializable
@SerialName("put-service")
public data class PutService(public val service: Service) : ConfigurationChange

/** Removes a service. */
@Serializable
@SerialName("remove-service")
public data class RemoveService(public val id: ServiceId) : ConfigurationChange

/** Adds or replaces a failure domain; an existing one keeps [FailureDomain.isDrained]. */
@Serializable
@SerialName("put-domain")
public data class PutFailureDomain(public val domain: FailureDomain) : ConfigurationChange

/** Drains a failure domain or restores it. */
@Serializable
@SerialName("set-domain-drained")
public data class SetFailureDomainDrained(public val id: FailureDomainId, public val isDrained: Boolean) :
    ConfigurationChange

/** Drains a target or restores it. */
@Serializable
@SerialName("set-target-drained")
public data class SetTargetDrained(public val id: TargetId, public val isDrained: Boolean) : ConfigurationChange

/** Adds or replaces an operator. */
@Serializable
@SerialName("put-operator")
public data class PutOperator(public val operator: Operator) : ConfigurationChange

/** Removes an operator. */
@Serializable
@SerialName("remove-operator")
public data class RemoveOperator(public val id: OperatorId) : ConfigurationChange

/** Sets the read rate of the weight store; 0 means unknown. */
@Serializable
@SerialName("set-weight-store-rate")
public data class SetWeightStoreRate(public val bytesPerSecond: Long) : ConfigurationChange

/** All settings that operators change by commands. */
@Serializable
public data class Configuration(
    public val revision: Revision = Revision(0),
    public val accounts: Map<ClientAccountId, ClientAccount> = emptyMap(),
    public val services: Map<ServiceId, Service> = emptyMap(),
    public val domains: Map<FailureDomainId, FailureDomain> = emptyMap(),
    public val operators: Map<OperatorId, Operator> = emptyMap(),
    public val drainedTargets: Set<TargetId> = emptySet(),
    /** The read rate of the weight store; 0 if unknown, in which case no engine is ordered to load a model. */
    public val weightStoreBytesPerSecond: Long = 0,
)

/** Returns this configuration with [change] applied and the same revision. */
public fun Configuration.with(change: ConfigurationChange): Configuration = when (change) {
    is PutClientAccount -> copy(accounts = accounts.putting(change.account.id, change.account))
    is RemoveClientAccount -> copy(accounts = accounts.removing(change.id))
    is PutService -> copy(services = services.putting(change.service.id, change.service))
    is RemoveService -> copy(services = services.removing(change.id))
    is PutFailureDomain -> withDomain(change.domain.copy(isDrained = domains[change.domain.id]?.isDrained ?: false))
    is SetFailureDomainDrained -> domains[change.id]?.let { withDomain(it.copy(isDrained = change.isDrained)) }
        ?: this
    is SetTargetDrained -> copy(
        drainedTargets = if (change.isDrained) {
            drainedTargets + change.id
        } else {
            drainedTargets -
                change.id
        },
    )
    is PutOperator -> copy(operators = operators.putting(change.operator.id, change.operator))
    is RemoveOperator -> copy(operators = operators.removing(change.id))
    is SetWeightStoreRate -> copy(weightStoreBytesPerSecond = change.bytesPerSecond)
}

/** Returns the permission that [change] needs. */
public fun permissionFor(change: ConfigurationChange): Permission = when (change) {
    is PutOperator, is RemoveOperator -> Permission.ADMINISTER
    is SetFailureDomainDrained, is SetTargetDrained -> Permission.OPERATE
    else -> Permission.CONFIGURE
}

private fun Configuration.withDomain(domain: FailureDomain): Configuration =
    copy(domains = domains.putting(domain.id, domain))
