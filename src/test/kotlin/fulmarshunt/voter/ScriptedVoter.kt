/*
 * A voter without threads, files or links. Its disk is a variable that changes only when the test syncs, so that a
 * restart loses everything that was not synced. Each sent message is checked against that disk.
 */
package fulmarshunt.voter

import fulmarshunt.Address
import fulmarshunt.ClusterId
import fulmarshunt.LogIndex
import fulmarshunt.Term
import fulmarshunt.VmId
import fulmarshunt.VoterId
import java.nio.file.Path
import kotlin.random.Random

internal fun member(name: String) = Member(VoterId("$name#1"), VmId(name), Address("127.0.0.1", 1))

internal val self = member("a")
internal val peerB = member("b")
internal val peerC = member("c")
internal val threeVoters = initialSnapshot(ClusterId("a#1"), Membership(listOf(self, peerB, peerC)))

internal fun command(index: Long, term: Long, text: String = "$index@$term") =
    LogEntry(LogIndex(index), Term(term), Command(text.encodeToByteArray()))

internal class ScriptedVoter(
    private val random: Random,
    snapshotEveryEntries: Int = 1_000,
    initial: Snapshot? = threeVoters,
) {
    private val settings =
        VoterSettings(
            self.vm,
            self.address,
            Path.of("unused"),
            false,
            fixedInitialVoters(emptyMap()),
            snapshotEveryEntries = snapshotEveryEntries,
        )
    var disk = StoredState(self.id, HardState(Term(0)), initial, EntryLog(LogPosition.START))
    var nowMs = 0L
    var state = initialState(settings, disk, nowMs)
    var machine = HashStateMachine()

    /** A snapshot that is being encoded while other events are handled. */
    private var captured: SnapshotTaken? = null
    val sent = mutableListOf<Envelope>()
    private val waiting = ArrayDeque<Action>()
    private val votes = HashMap<Term, VoterId>()
    private val applied = HashMap<LogIndex, Pair<Term, String>>()

    /** Called for each newly committed entry, before it is applied. */
    var onApply: (LogEntry) -> Unit = {}

    fun handle(event: VoterEvent): RequestReply? {
        val result = step(state, event, StepContext(nowMs, random.nextDouble()))
        state = result.state
        result.actions.forEach(::perform)
        return result.reply
    }

    fun receive(from: Member, term: Long, message: VoterMessage) {
        handle(MessageReceived(Envelope(ClusterId("a#1"), from.id, from.address, self.id, Term(term), message)))
    }

    /** Advances the time to the next deadline and handles the tick. */
    fun advanceToDeadline() {
        nowMs = maxOf(nowMs, state.deadlineMs)
        handle(Tick)
    }

    /** Completes the encoding of a snapshot, and writes up to [count] waiting actions to disk. */
    fun sync(count: Int = Int.MAX_VALUE) {
        captured?.let { encoded ->
            captured = null
            handle(encoded)
        }
        var remaining = count
        while (remaining > 0 && waiting.isNotEmpty()) {
            remaining -= 1
            when (val action = waiting.removeFirst()) {
                is Store -> {
                    val first = action.entries.firstOrNull()?.index
                    val kept = if (first == null) disk.log else disk.log.truncatedAfter(first - 1)
                    val committed = maxOf(disk.committed, action.committed)
                    disk = StoredState(self.id, action.hard, disk.snapshot, kept.append(action.entries), committed)
                    handle(Stored(action.term, action.lastIndex))
                }
                is StoreSnapshot -> {
                    disk = StoredState(self.id, action.hard, action.snapshot, EntryLog(action.base, action.entries))
                    handle(Stored(action.hard.term, disk.log.last.index))
                }
                is Send -> release(action.envelope)
                else -> error("not written: $action")
            }
        }
    }

    /** Restarts the voter, which loses everything that was not synced. */
    fun restart() {
        waiting.clear()
        captured = null
        state = initialState(settings, disk, nowMs)
        machine = HashStateMachine()
        disk.snapshot?.takeIf { it.data.isNotEmpty() }?.let {
            machine.asReplicated.restore(it.header.position.index, it.data)
        }
        replayedEntries(state).forEach(::apply)
    }

    private fun perform(action: Action) {
        when (action) {
            is Store, is StoreSnapshot -> waiting += action
            is Send -> if (action.isAfterStore) waiting += action else release(action.envelope)
            is Apply -> action.entries.forEach(::apply)
            is Restore ->
                if (action.snapshot.data.isNotEmpty()) {
                    machine.asReplicated.restore(action.snapshot.header.position.index, action.snapshot.data)
                }
            is TakeSnapshot ->
                if (captured == null) captured = SnapshotTaken(state.snapshotPoint, machine.asReplicated.snapshot()())
        }
    }

    private fun apply(entry: LogEntry) {
        onApply(entry)
        val bytes = (entry.payload as? Command)?.bytes
        val content = entry.term to (bytes?.decodeToString() ?: "none")
        val previous = applied.put(entry.index, content)
        check(previous == null || previous == content) { "entry ${entry.index} was $previous and became $content" }
        if (bytes != null) machine.asReplicated.apply(entry.index, bytes)
    }

    private fun release(envelope: Envelope) {
        when (val message = envelope.message) {
            is VoteRequest -> vote(envelope.term, self.id)
            is VoteReply -> if (message.isGranted) vote(envelope.term, envelope.to)
            is Appended -> {
                val covered = disk.snapshot?.header?.position?.index ?: LogIndex(0)
                check(message.match <= maxOf(covered, disk.log.last.index)) { "acknowledged before the sync: $message" }
            }
            else -> Unit
        }
        sent += envelope
    }

    private fun vote(term: Term, candidate: VoterId) {
        check(disk.hard == HardState(term, candidate) || disk.hard.term > term) { "vote in $term was not synced" }
        val previous = votes.put(term, candidate)
        check(previous == null || previous == candidate) { "voted for $previous and $candidate in $term" }
    }
}

/** Makes the voter the leader with the vote of [peerB], and returns its term. */
internal fun ScriptedVoter.becomeLeaderOfThree(): Long {
    advanceToDeadline()
    receive(peerB, state.term.value, PreVoteReply(Term(state.term.value + 1), true))
    sync()
    receive(peerB, state.term.value, VoteReply(true))
    check(state.role is Leader) { "not elected: ${state.role}" }
    return state.term.value
}
