/*
 * The messages between voters. All but the probe are one-way: the reply on the channel only confirms receipt, and the
 * response is a separate message, which is sent once whatever it acknowledges is on disk.
 */
package fulmarshunt.voter

import fulmarshunt.Address
import fulmarshunt.ClusterId
import fulmarshunt.LogIndex
import fulmarshunt.Term
import fulmarshunt.VmId
import fulmarshunt.VoterId
import fulmarshunt.link.Channel
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** A call from one voter to another. */
@Serializable
internal sealed interface VoterCall

/** A message with its sender and recipient. A voter whose disk was wiped drops messages to its previous id. */
@Serializable
@SerialName("e")
internal data class Envelope(
    val cluster: ClusterId,
    val from: VoterId,
    val replyTo: Address,
    val to: VoterId,
    val term: Term,
    val message: VoterMessage,
) : VoterCall

/** Requests the identity of the voter at an address and whether it already belongs to a cluster. */
@Serializable
@SerialName("p")
internal data object Probe : VoterCall

/** The reply to a [VoterCall]. */
@Serializable
internal sealed interface VoterCallReply

/** Confirms that the message was received, but not that it had an effect. */
@Serializable
@SerialName("r")
internal data object Received : VoterCallReply

/** The identity of a voter. [initial] is present while the voter still has the initial membership of its cluster. */
@Serializable
@SerialName("i")
internal data class Identity(
    val id: VoterId,
    val vm: VmId,
    val isBlank: Boolean,
    val isBootstrapping: Boolean,
    val initial: SnapshotHeader? = null,
) : VoterCallReply

/** A message from one voter to another. */
@Serializable
internal sealed interface VoterMessage

/** Asks whether the recipient would vote for the sender in [nextTerm]; it changes no state of the recipient. */
@Serializable
@SerialName("pv")
internal data class PreVote(val nextTerm: Term, val last: LogPosition) : VoterMessage

@Serializable
@SerialName("pvr")
internal data class PreVoteReply(val nextTerm: Term, val isGranted: Boolean) : VoterMessage

/** Requests the vote of the recipient in the term of the envelope. */
@Serializable
@SerialName("v")
internal data class VoteRequest(
    val last: LogPosition,
    /** Whether the leader asked for this election, so that it does not matter that it was heard a moment ago. */
    val isHandOver: Boolean = false,
) : VoterMessage

@Serializable
@SerialName("vr")
internal data class VoteReply(val isGranted: Boolean) : VoterMessage

/** The round and time of a leader's message. The follower returns it unchanged; [sentAtMs] is on the leader's clock. */
@Serializable
internal data class Stamp(val round: Long, val sentAtMs: Long)

/** Appends [entries] after [previous]; without entries it is a heartbeat. */
@Serializable
@SerialName("a")
internal class Append(val previous: LogPosition, val entries: List<LogEntry>, val commit: LogIndex, val stamp: Stamp) :
    VoterMessage

/**
 * Confirms that the log of the sender equals the leader's up to [match] and is on disk up to there. The reply to a
 * heartbeat confirms no entries, and says whether the disk of the sender takes writes.
 */
@Serializable
@SerialName("ar")
internal data class Appended(val match: LogIndex, val stamp: Stamp, val isDiskBlocked: Boolean = false) : VoterMessage

/** Asks the recipient to start an election, because the disk of the leader, which sends this, takes no writes. */
@Serializable
@SerialName("h")
internal data object HandOver : VoterMessage

/** Reports that the sender lacks the entry at [previous]; its log matches the leader's at most up to [hint]. */
@Serializable
@SerialName("ax")
internal data class AppendRefused(
    val previous: LogIndex,
    val hint: LogIndex,
    val needsSnapshot: Boolean,
    val stamp: Stamp,
) : VoterMessage

/** A part of a snapshot, starting at [offsetBytes]. */
@Serializable
@SerialName("s")
internal class SnapshotChunk(
    val header: SnapshotHeader,
    val offsetBytes: Int,
    @ByteString val bytes: ByteArray,
    val stamp: Stamp,
) : VoterMessage

/** Confirms that the sender has the snapshot at [index] up to [nextOffsetBytes]. */
@Serializable
@SerialName("sr")
internal data class SnapshotChunkReply(val index: LogIndex, val nextOffsetBytes: Int, val stamp: Stamp) : VoterMessage

/** The channel of calls between voters. */
internal val voterChannel: Channel<VoterCall, VoterCallReply> =
    Channel("voter", VoterCall.serializer(), VoterCallReply.serializer())
