/*
 * The claims of calls that must run at most once, as the voters store them. The table is bounded by count and by bytes,
 * and a claim that does not fit is refused before its call can run.
 */
package fulmarshunt.caller

import fulmarshunt.Fingerprint
import fulmarshunt.TicketId
import fulmarshunt.appending
import fulmarshunt.dropping
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The maximum number of claims. */
internal const val MAX_CLAIMS: Int = 100_000

/** The maximum size of all claims; a voter with 128 MB holds them twice while it takes a snapshot. */
internal const val MAX_CLAIM_BYTES: Long = 24L * 1_024 * 1_024

/** The size of a claim without its texts and its response. */
private const val CLAIM_OVERHEAD_BYTES = 96L

/** Bounds the duration of one step; the remaining claims expire with the next steps. */
private const val MAX_EXPIRED_AT_ONCE = 1_000

/** A recorded claim. */
@Serializable
public class Claim(
    public val fingerprint: Fingerprint,
    public val ticket: TicketId,
    public val expiresAtEpochMs: Long,
    /** The response to the call, or null while its outcome is not known. */
    @SerialName("answer") public val response: RecordedResponse? = null,
)

/** All claims, in the order in which they were recorded and expire. */
@Serializable
public class ClaimTable(public val claims: Map<ClaimKey, Claim> = emptyMap(), public val sizeBytes: Long = 0)

/** The bounds of a [ClaimTable]. */
public data class ClaimLimits(val maxClaims: Int = MAX_CLAIMS, val maxBytes: Long = MAX_CLAIM_BYTES)

/** Returns the table after [call] at [nowEpochMs], and the reply. */
internal fun ClaimTable.apply(
    call: ClaimCall,
    nowEpochMs: Long,
    limits: ClaimLimits = ClaimLimits(),
): Pair<ClaimTable, ClaimReply> = when (call) {
    is RecordClaim -> record(call, nowEpochMs, limits)
    is FinishClaim -> finish(call, limits)
    is WithdrawClaim -> withdraw(call)
}

/** Returns the table without the claims that have expired at [nowEpochMs], at most [MAX_EXPIRED_AT_ONCE] of them. */
internal fun ClaimTable.expire(nowEpochMs: Long): ClaimTable {
    var current = this
    var dropped = 0
    while (dropped < MAX_EXPIRED_AT_ONCE && current.hasExpired(nowEpochMs)) {
        val (key, claim) = current.claims.entries.first()
        current = current.without(key, claim)
        dropped += 1
    }
    return current
}

/** Returns whether a claim has expired at [nowEpochMs]. */
internal fun ClaimTable.hasExpired(nowEpochMs: Long): Boolean =
    claims.values.firstOrNull()?.let { it.expiresAtEpochMs <= nowEpochMs } ?: false

private fun ClaimTable.record(call: RecordClaim, nowEpochMs: Long, limits: ClaimLimits): Pair<ClaimTable, ClaimReply> {
    val existing = claims[call.key]
    if (existing != null) return this to replyToResend(existing, call)
    val claim = Claim(call.fingerprint, call.ticket, nowEpochMs + CLAIM_RETENTION_MS)
    val isFull = claims.size >= limits.maxClaims || sizeBytes + sizeOf(call.key, claim) > limits.maxBytes
    return if (isFull) this to ClaimsFull else with(call.key, claim) to Claimed
}

private fun replyToResend(existing: Claim, call: RecordClaim): ClaimReply = when {
    existing.fingerprint != call.fingerprint -> KeyReused
    existing.response != null -> AlreadyAnswered(existing.response)
    // The reply to the first claim of the same attempt was lost; the attempt has not sent the call yet.
    existing.ticket == call.ticket -> Claimed
    else -> AlreadyClaimed
}

private fun ClaimTable.finish(call: FinishClaim, limits: ClaimLimits): Pair<ClaimTable, ClaimReply> {
    val existing = claims[call.key]
    if (existing == null || existing.ticket != call.ticket) return this to AlreadyClaimed
    if (existing.response != null) return this to ClaimRecorded
    val finished = existing.finishedWith(call.response)
    // That the call finished is recorded even if its body does not fit.
    val fits = finished.bodyBytes <= MAX_RECORDED_RESPONSE_BYTES &&
        sizeBytes + sizeOf(call.key, finished) - sizeOf(call.key, existing) <= limits.maxBytes
    val kept =
        if (fits) {
            finished
        } else {
            existing.finishedWith(RecordedResponse(call.response.status, call.response.contentType, null))
        }
    return without(call.key, existing, keepsPosition = true).with(call.key, kept) to ClaimRecorded
}

private fun ClaimTable.withdraw(call: WithdrawClaim): Pair<ClaimTable, ClaimReply> {
    val existing = claims[call.key]
    return when {
        existing == null -> this to ClaimRecorded
        existing.response != null -> this to AlreadyAnswered(existing.response)
        existing.ticket != call.ticket -> this to AlreadyClaimed
        else -> without(call.key, existing) to ClaimRecorded
    }
}

private fun ClaimTable.with(key: ClaimKey, claim: Claim) =
    ClaimTable(claims.appending(key, claim), sizeBytes + sizeOf(key, claim))

private fun ClaimTable.without(key: ClaimKey, claim: Claim, keepsPosition: Boolean = false) =
    ClaimTable(if (keepsPosition) claims else claims.dropping(key), sizeBytes - sizeOf(key, claim))

private fun Claim.finishedWith(response: RecordedResponse) = Claim(fingerprint, ticket, expiresAtEpochMs, response)

private val Claim.bodyBytes get() = response?.body?.size ?: 0

private fun sizeOf(key: ClaimKey, claim: Claim): Long = CLAIM_OVERHEAD_BYTES + key.account.value.length +
    key.key.value.length + claim.fingerprint.value.length + claim.ticket.value.length +
    (claim.response?.contentType?.length ?: 0) + claim.bodyBytes
