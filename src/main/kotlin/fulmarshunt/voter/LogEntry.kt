/*
 * The entries of the replicated log and the membership that some of them contain.
 */
package fulmarshunt.voter

import fulmarshunt.Address
import fulmarshunt.LogIndex
import fulmarshunt.Term
import fulmarshunt.VmId
import fulmarshunt.VoterId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** A process to which the log is replicated. A learner neither votes nor counts towards a quorum. */
@Serializable
internal data class Member(val id: VoterId, val vm: VmId, val address: Address, val isLearner: Boolean = false)

/** The processes to which the log is replicated from some index on. */
@Serializable
internal data class Membership(val members: List<Member>) {
    val voters: List<Member> get() = members.filterNot { it.isLearner }

    fun memberOrNull(id: VoterId): Member? = members.find { it.id == id }

    fun isVoter(id: VoterId): Boolean = memberOrNull(id)?.isLearner == false

    fun with(member: Member): Membership = Membership(members.filterNot { it.id == member.id } + member)

    fun without(id: VoterId): Membership = Membership(members.filterNot { it.id == id })

    /** Returns whether [ids] contains a majority of the voters. */
    fun isQuorum(ids: Set<VoterId>): Boolean = voters.count { it.id in ids } > voters.size / 2

    /** Returns the greatest value that a majority of the voters has reached. */
    fun <T : Comparable<T>> quorumValue(valueOf: (VoterId) -> T): T =
        voters.map { valueOf(it.id) }.sortedDescending()[voters.size / 2]
}

/** The content of a log entry. */
@Serializable
internal sealed interface Payload

/** A command of the replicated state machine. */
@Serializable
@SerialName("c")
internal class Command(@ByteString val bytes: ByteArray) : Payload

/** The first entry of each term; committing it also commits all entries of earlier terms. */
@Serializable
@SerialName("n")
internal data object NoOp : Payload

/** Replaces the membership as soon as the entry is in the log, before it is committed. */
@Serializable
@SerialName("m")
internal data class MembershipChange(val membership: Membership) : Payload

/** One entry of the replicated log. */
@Serializable
internal class LogEntry(val index: LogIndex, val term: Term, val payload: Payload) {
    /** An estimate of the encoded size, for bounding batches. */
    val sizeBytes: Int
        get() = ENTRY_OVERHEAD_BYTES + ((payload as? Command)?.bytes?.size ?: 0)

    private companion object {
        const val ENTRY_OVERHEAD_BYTES = 64
    }
}

/** The index and term of an entry. A log is at least as complete as another if its last position is not less. */
@Serializable
internal data class LogPosition(val index: LogIndex, val term: Term) : Comparable<LogPosition> {
    override fun compareTo(other: LogPosition): Int = compareValuesBy(this, other, { it.term }, { it.index })

    companion object {
        /** The position before the first entry. */
        val START: LogPosition = LogPosition(LogIndex(0), Term(0))
    }
}

internal operator fun LogIndex.plus(count: Int): LogIndex = LogIndex(value + count)

internal operator fun LogIndex.minus(count: Int): LogIndex = LogIndex(value - count)
