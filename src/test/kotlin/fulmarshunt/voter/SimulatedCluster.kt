/*
 * A cluster of voters in virtual time: messages take a few milliseconds, and disks can be slow, full or hanging. A
 * client proposes changes and repeats those without a result. What must always hold is checked at each event.
 */
package fulmarshunt.voter

import fulmarshunt.Address
import fulmarshunt.ClusterId
import fulmarshunt.LogIndex
import fulmarshunt.Term
import fulmarshunt.VmId
import fulmarshunt.VoterId
import java.nio.file.Path
import java.util.PriorityQueue
import kotlin.random.Random

private const val FULL_DISK_RETRY_MS = 400L
private const val HANG_LIMIT_MS = 2_000L
private const val CLIENT_RETRY_MS = 60L

/** A change that the client has sent, with the time of its acknowledgement or null. */
internal class SimulatedChange(val text: String, val sentAtMs: Long) {
    var acknowledgedAtMs: Long? = null
    val latencyMs: Long? get() = acknowledgedAtMs?.minus(sentAtMs)
}

internal class SimulatedCluster(voterCount: Int, private val random: Random, private val syncMs: LongRange = 1L..6L) {
    private class Event(val atMs: Long, val order: Long, val run: () -> Unit)

    private val members = (0 until voterCount).map { n ->
        Member(VoterId("v$n#1"), VmId("v$n"), Address("127.0.0.1", n + 1))
    }
    private val initial = initialSnapshot(ClusterId("v0#1"), Membership(members))
    private val events = PriorityQueue<Event>(compareBy<Event> { it.atMs }.thenBy { it.order })
    private var order = 0L
    private val leaders = HashMap<Term, VoterId>()
    private val committed = HashMap<LogIndex, String>()
    var nowMs = 0L
        private set

    val voters = members.map { Voter(it) }
    val changes = mutableListOf<SimulatedChange>()

    inner class Voter(private val self: Member) {
        private val settings =
            VoterSettings(self.vm, self.address, Path.of("unused"), false, fixedInitialVoters(emptyMap()))
        private var disk = StoredState(self.id, HardState(Term(0)), initial, EntryLog(LogPosition.START))
        private val waiting = ArrayDeque<Action>()
        private var isWriting = false
        private var life = 0
        private val applied = HashMap<LogIndex, String>()
        val appliedTexts = HashSet<String>()
        var isFull = false
        var hangsUntilMs = 0L
        var extraSyncMs = 0L

        var state = initialState(settings, disk, nowMs)
            private set

        val id: VoterId get() = self.id
        val isLeader: Boolean get() = state.role is Leader

        fun handle(event: VoterEvent): RequestReply? {
            val result = step(state, event, StepContext(nowMs, random.nextDouble()))
            state = result.state
            if (state.role is Leader) {
                val other = leaders.put(state.term, id)
                check(other == null || other == id) { "$other and $id both lead in ${state.term}" }
            }
            result.actions.forEach(::perform)
            scheduleTick()
            return result.reply
        }

        fun isApplied(index: LogIndex, text: String) = applied[index] == text

        /** Kills the process and starts it again; what was not synced is lost. */
        fun restart() {
            life += 1
            waiting.clear()
            isWriting = false
            applied.clear()
            state = initialState(settings, disk, nowMs)
            replayedEntries(state).forEach(::apply)
            scheduleTick()
        }

        fun scheduleTick() {
            val deadlineMs = state.deadlineMs
            val current = life
            at(maxOf(deadlineMs, nowMs)) {
                if (current == life && state.deadlineMs == deadlineMs) handle(Tick)
            }
        }

        private fun perform(action: Action) {
            when (action) {
                is Store, is StoreSnapshot -> enqueue(action)
                is Send -> if (action.isAfterStore) enqueue(action) else deliver(action.envelope)
                is Apply -> action.entries.forEach(::apply)
                is Restore -> Unit
                is TakeSnapshot -> Unit
            }
        }

        private fun apply(entry: LogEntry) {
            val text = (entry.payload as? Command)?.bytes?.decodeToString() ?: "${entry.payload::class.simpleName}"
            val content = "${entry.term}:$text"
            val other = committed.putIfAbsent(entry.index, content)
            check(other == null || other == content) { "entry ${entry.index} was $other and became $content at $id" }
            applied[entry.index] = text
            appliedTexts += text
        }

        private fun enqueue(action: Action) {
            waiting += action
            if (!isWriting) writeNext()
        }

        private fun writeNext() {
            val group = waiting.toList()
            if (group.isEmpty()) return
            isWriting = true
            attempt(group, life)
        }

        private fun attempt(group: List<Action>, startedInLife: Int) {
            if (life != startedInLife) return
            val stores = group.filterIsInstance<Store>()
            if (stores.isEmpty()) return finish(group, startedInLife, 0)
            if (isFull) {
                handle(DiskBlocked)
                at(nowMs + random.nextLong(FULL_DISK_RETRY_MS)) { attempt(group, startedInLife) }
                return
            }
            val sinceMs = nowMs
            val endMs = maxOf(nowMs, hangsUntilMs) + random.nextLong(syncMs.first, syncMs.last + 1) + extraSyncMs
            if (endMs - sinceMs >= HANG_LIMIT_MS) {
                at(sinceMs + HANG_LIMIT_MS) { if (life == startedInLife) handle(DiskBlocked) }
            }
            at(endMs) { if (life == startedInLife) finish(group, startedInLife, endMs - sinceMs) }
        }

        private fun finish(group: List<Action>, startedInLife: Int, tookMs: Long) {
            if (life != startedInLife) return
            repeat(group.size) { waiting.removeFirst() }
            for (store in group.filterIsInstance<Store>()) {
                val first = store.entries.firstOrNull()?.index
                val kept = if (first == null) disk.log else disk.log.truncatedAfter(first - 1)
                disk = StoredState(id, store.hard, disk.snapshot, kept.append(store.entries), store.committed)
            }
            group.filterIsInstance<Send>().forEach { deliver(it.envelope) }
            isWriting = false
            group.filterIsInstance<Store>().lastOrNull()?.let { handle(Stored(it.term, it.lastIndex, tookMs)) }
            if (!isWriting) writeNext()
        }
    }

    init {
        voters.forEach { it.scheduleTick() }
    }

    fun at(atMs: Long, run: () -> Unit) {
        events += Event(atMs, order++, run)
    }

    /** Handles all events up to [untilMs]. */
    fun runUntil(untilMs: Long) {
        while (true) {
            val next = events.peek()?.takeIf { it.atMs <= untilMs } ?: break
            events.remove()
            nowMs = next.atMs
            next.run()
        }
        nowMs = untilMs
    }

    /** Proposes a change now, and again as long as it has no result. */
    fun change(text: String) {
        val change = SimulatedChange(text, nowMs)
        changes += change
        propose(change)
    }

    private fun propose(change: SimulatedChange) {
        if (change.acknowledgedAtMs != null) return
        val leader = voters.filter { it.isLeader }.maxByOrNull { it.state.term.value }
        val reply = leader?.handle(Propose(change.text.encodeToByteArray()))
        if (leader != null && reply is AcceptedAt) {
            await(change, leader, reply.index, leader.state.term)
        } else {
            at(nowMs + CLIENT_RETRY_MS) { propose(change) }
        }
    }

    private fun await(change: SimulatedChange, leader: Voter, index: LogIndex, term: Term) {
        when {
            leader.isApplied(index, change.text) -> change.acknowledgedAtMs = nowMs
            leader.isLeader && leader.state.term == term -> at(nowMs + 1) { await(change, leader, index, term) }
            else -> at(nowMs + CLIENT_RETRY_MS) { propose(change) }
        }
    }

    private fun deliver(envelope: Envelope) {
        val recipient = voters.find { it.id == envelope.to } ?: return
        at(nowMs + random.nextLong(1, 4)) { recipient.handle(MessageReceived(envelope)) }
    }
}
