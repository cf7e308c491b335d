/*
 * Claims of calls that must run at most once. A claim is committed by the voters before the call leaves the entry VM,
 * and stores the response for resends through any entry VM.
 */
package fulmarshunt.caller

import fulmarshunt.Address
import fulmarshunt.ClientAccountId
import fulmarshunt.Fingerprint
import fulmarshunt.IdempotencyKey
import fulmarshunt.TicketId
import fulmarshunt.VmId
import fulmarshunt.link.Channel
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** The maximum size of a response body that a claim stores. */
public const val MAX_RECORDED_RESPONSE_BYTES: Int = 8_192

/** How long a claim is kept after it was made. */
public const val CLAIM_RETENTION_MS: Long = 24L * 60 * 60 * 1_000

/** Identifies a call that must run at most once. */
@Serializable
public data class ClaimKey(public val account: ClientAccountId, public val key: IdempotencyKey)

/** The recorded response to a call. */
@Serializable
public class RecordedResponse(
    public val status: Int,
    public val contentType: String,
    /** The body, or null if it was larger than [MAX_RECORDED_RESPONSE_BYTES]. */
    @ByteString public val body: ByteArray?,
)

/** A call of an entry VM about a claim. */
@Serializable
public sealed interface ClaimCall

/** Claims the right to run the call once. */
@Serializable
@SerialName("record")
public data class RecordClaim(
    public val key: ClaimKey,
    /** The hash of method, path and body; a resend must have the same one. */
    public val fingerprint: Fingerprint,
    public val vm: VmId,
    /** Identifies the claimant, so that a claim that the same attempt sends again is recognised. */
    public val ticket: TicketId,
) : ClaimCall

/** Records the response to a claimed call. */
@Serializable
@SerialName("finish")
public data class FinishClaim(
    public val key: ClaimKey,
    public val ticket: TicketId,
    @SerialName("answer") public val response: RecordedResponse,
) : ClaimCall

/** Withdraws a claim whose call certainly did not run. */
@Serializable
@SerialName("withdraw")
public data class WithdrawClaim(public val key: ClaimKey, public val ticket: TicketId) : ClaimCall

/** The reply to a [ClaimCall]. */
@Serializable
public sealed interface ClaimReply

/** The caller of this claim may run the call. */
@Serializable
@SerialName("claimed")
public data object Claimed : ClaimReply

/** The call ran; [response] is its response. */
@Serializable
@SerialName("answered")
public data class AlreadyAnswered(@SerialName("answer") public val response: RecordedResponse) : ClaimReply

/** The call was claimed before and its outcome is not known. */
@Serializable
@SerialName("unknown")
public data object AlreadyClaimed : ClaimReply

/** The key was used before for another call. */
@Serializable
@SerialName("mismatch")
public data object KeyReused : ClaimReply

/** No claim can be recorded, because the claim table is full; the call must not run. */
@Serializable
@SerialName("full")
public data object ClaimsFull : ClaimReply

/** The change to the claim is committed. */
@Serializable
@SerialName("recorded")
public data object ClaimRecorded : ClaimReply

/** The process that received the call is not the leader; [leader] is, if known. */
@Serializable
@SerialName("not-leader")
public data class ClaimNotLeader(public val leader: Address? = null) : ClaimReply

/** It is not known whether the change to the claim was committed. */
@Serializable
@SerialName("undecided")
public data object ClaimUndecided : ClaimReply

/** Carries claim calls from entry VMs to the control leader. */
public val claimChannel: Channel<ClaimCall, ClaimReply> =
    Channel("claim", ClaimCall.serializer(), ClaimReply.serializer())
