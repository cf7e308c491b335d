/*
 * The calls from entry VMs to the owner of a pool: admission of a request to one of the pool's targets, and reports
 * about the admitted requests. Generated tokens are not sent through the owner.
 */
package fulmarshunt.entry

import fulmarshunt.Address
import fulmarshunt.ClientAccountId
import fulmarshunt.FencingNumber
import fulmarshunt.Fingerprint
import fulmarshunt.Incarnation
import fulmarshunt.PoolId
import fulmarshunt.ServiceId
import fulmarshunt.TargetId
import fulmarshunt.TicketId
import fulmarshunt.VmId
import fulmarshunt.link.Channel
import fulmarshunt.target.TargetAnnouncement
import fulmarshunt.target.TargetInstance
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How long a grant may be used after it was received. */
public const val GRANT_VALID_MS: Long = 2_000

/** A request for placement at a target. */
@Serializable
public data class AdmissionRequest(
    public val ticket: TicketId,
    /** The entry VM that serves the caller. */
    public val vm: VmId,
    public val account: ClientAccountId,
    public val service: ServiceId,
    public val promptTokens: Int,
    public val maxOutputTokens: Int,
    /** Hashes of the prompt's prefixes, shortest first. */
    public val prefixHashes: List<Long> = emptyList(),
    public val fingerprint: Fingerprint,
    /** How long the request has waited already, in other queues or before a takeover. */
    public val waitedMs: Long = 0,
    /** How long the request may wait in total, including [waitedMs]. */
    public val maxWaitMs: Long,
    /** Targets that failed this request before. */
    public val excluded: List<TargetId> = emptyList(),
    /** Attempts of this request that ended without a response and without a refusal. */
    public val lost: List<LostAttempt> = emptyList(),
)

/**
 * The pool and the target instance at which an attempt was lost. The request is not placed elsewhere until it is known
 * whether the target has crashed.
 */
@Serializable
public data class LostAttempt(
    public val pool: PoolId,
    @SerialName("life")
    public val instance: TargetInstance,
)

/** A ticket that is running when a pool changes its owner. */
@Serializable
public data class RunningTicket(
    public val request: AdmissionRequest,
    public val target: TargetId,
    public val incarnation: Incarnation,
    public val tokens: Int,
)

/** How an admitted request ended. */
@Serializable
public enum class TicketOutcome {
    /** The complete response arrived. */
    @SerialName("finished")
    FINISHED,

    /** The caller disconnected or the request was cancelled at the target. */
    @SerialName("cancelled")
    CANCELLED,

    /** The target refused the request, which did not run. */
    @SerialName("refused")
    REFUSED,

    /** The connection failed and could not be resumed. */
    @SerialName("lost")
    LOST,

    /** The target accepted no connection, or did not respond to the query for the generation. */
    @SerialName("gone")
    GONE,

    /** The grant was not used. */
    @SerialName("unused")
    UNUSED,
}

/** A call to the owner of a pool. */
@Serializable
public sealed interface AdmissionCall {
    public val pool: PoolId
}

/** Requests admission; the reply is sent when the request leaves the queue. */
@Serializable
@SerialName("admit")
public data class Admit(override val pool: PoolId, public val request: AdmissionRequest) : AdmissionCall

/** Removes a request from the queue, because its caller has disconnected. */
@Serializable
@SerialName("withdraw")
public data class Withdraw(override val pool: PoolId, public val ticket: TicketId) : AdmissionCall

/** Reports the number of tokens that a running ticket has received. */
@Serializable
@SerialName("progress")
public data class Progress(
    override val pool: PoolId,
    public val ticket: TicketId,
    public val tokens: Int,
    /** The time from the grant to the first token, or -1 while there is none. */
    public val firstTokenMs: Long = -1,
    /** The mean time between the tokens since the last report, or -1 while unknown. */
    public val betweenTokensMs: Double = -1.0,
) : AdmissionCall

/** Reports the end of a ticket. */
@Serializable
@SerialName("end")
public data class EndTicket(
    override val pool: PoolId,
    public val ticket: TicketId,
    public val tokens: Int,
    public val outcome: TicketOutcome,
) : AdmissionCall

/** Registers the running tickets of an entry VM with a new owner of the pool. */
@Serializable
@SerialName("reregister")
public data class Reregister(override val pool: PoolId, public val vm: VmId, public val tickets: List<RunningTicket>) :
    AdmissionCall

/** Forwards an announcement of a target to the owner of its pool. */
@Serializable
@SerialName("announce")
public data class ForwardAnnouncement(override val pool: PoolId, public val announcement: TargetAnnouncement) :
    AdmissionCall

/** The reply to an [AdmissionCall]. */
@Serializable
public sealed interface AdmissionReply

/** The request may run at [target] if it is sent within [GRANT_VALID_MS]. */
@Serializable
@SerialName("granted")
public data class Granted(
    public val target: TargetId,
    public val address: Address,
    public val incarnation: Incarnation,
    public val fence: FencingNumber,
    /** The engine serves requests with greater values first. */
    public val priority: Int,
    public val maxOutputTokens: Int,
) : AdmissionReply

/** Why a pool does not admit a request. */
@Serializable
public enum class RejectReason {
    /** No live target of the pool offers the service. */
    @SerialName("no-target")
    NO_TARGET,

    /** The expected wait in the queue exceeds the caller timeout. */
    @SerialName("overloaded")
    OVERLOADED,

    /** The failure domain is out of service, or the owner is stopping. */
    @SerialName("leaving")
    LEAVING,

    /** The process that received the call does not own the pool. */
    @SerialName("not-owner")
    NOT_OWNER,

    /** The owner has just taken over the pool and does not know the running tickets yet. */
    @SerialName("settling")
    SETTLING,
}

/** The request was not admitted and did not run. */
@Serializable
@SerialName("rejected")
public data class Rejected(
    public val reason: RejectReason,
    /** The time after which a retry is expected to succeed. */
    public val retryAfterMs: Long,
) : AdmissionReply

/** The report was accepted. */
@Serializable
@SerialName("noted")
public data object ReportAccepted : AdmissionReply

/** Carries admission calls between entry VMs. */
public val admissionChannel: Channel<AdmissionCall, AdmissionReply> =
    Channel("admission", AdmissionCall.serializer(), AdmissionReply.serializer())
