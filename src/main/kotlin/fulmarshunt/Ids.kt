/*
 * Identifiers that processes exchange. Each is a value class, so that one kind of identifier cannot be passed where
 * another is expected, without the cost of an allocation.
 */
package fulmarshunt

import kotlinx.serialization.Serializable

/** Identifies a virtual machine on which a process of this system runs. */
@Serializable
@JvmInline
public value class VmId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a group of machines that fail, or are taken out of service, together. */
@Serializable
@JvmInline
public value class FailureDomainId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a client account: the unit of authentication, limits and fairness. */
@Serializable
@JvmInline
public value class ClientAccountId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a model or a plain service that callers can request. */
@Serializable
@JvmInline
public value class ServiceId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a target: a model engine or a plain service process. */
@Serializable
@JvmInline
public value class TargetId(public val value: String) {
    override fun toString(): String = value
}

/** Names the version of the software of a target, as its announcements say it. */
@Serializable
@JvmInline
public value class SoftwareVersion(public val value: String) {
    override fun toString(): String = value
}

/** Numbers the starts of a target; a restarted target announces a greater incarnation. */
@Serializable
@JvmInline
public value class Incarnation(public val value: Long) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Identifies a group of targets with one owner, written `failure-domain/shard`. */
@Serializable
@JvmInline
public value class PoolId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one request of a caller. */
@Serializable
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one attempt to run a request at a target; late replies are matched by it. */
@Serializable
@JvmInline
public value class TicketId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a command of an operator; a retried command carries the same id. */
@Serializable
@JvmInline
public value class CommandId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a person or program that may give commands. */
@Serializable
@JvmInline
public value class OperatorId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a voter: a VM together with one instance of its data directory. */
@Serializable
@JvmInline
public value class VoterId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a cluster of voters from its formation on; the voter that forms the cluster chooses it. */
@Serializable
@JvmInline
public value class ClusterId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a part of a prompt; requests whose prompts begin with the same parts share cached memory of an engine. */
@Serializable
@JvmInline
public value class PromptPartId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies the content of a request; a request that is sent again under a new id has the same fingerprint. */
@Serializable
@JvmInline
public value class Fingerprint(public val value: String) {
    override fun toString(): String = value
}

/** The SHA-256 of a document in lower-case hexadecimal digits. */
@Serializable
@JvmInline
public value class ContentDigest(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a call that must not be repeated; the key is chosen by the client account. */
@Serializable
@JvmInline
public value class IdempotencyKey(public val value: String) {
    override fun toString(): String = value
}

/** Numbers the accepted configurations; it only increases. */
@Serializable
@JvmInline
public value class Revision(public val value: Long) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** A position in the replicated log; the first entry has index 1. */
@Serializable
@JvmInline
public value class LogIndex(public val value: Long) : Comparable<LogIndex> {
    override fun compareTo(other: LogIndex): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Numbers the terms of the replicated log; each election starts a new one. */
@Serializable
@JvmInline
public value class Term(public val value: Long) : Comparable<Term> {
    override fun compareTo(other: Term): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Increases with each assignment of a pool, so that requests of a former owner can be rejected. */
@Serializable
@JvmInline
public value class FencingNumber(public val value: Long) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Numbers the serving configurations that operators send; the highest one takes effect. */
@Serializable
@JvmInline
public value class ConfigurationVersion(public val value: Long) : Comparable<ConfigurationVersion> {
    override fun compareTo(other: ConfigurationVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
