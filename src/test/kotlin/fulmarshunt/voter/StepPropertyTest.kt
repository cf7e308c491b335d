/*
 * Properties of the step function with scripted peers, over random sequences of events, syncs and restarts.
 */
package fulmarshunt.voter

import fulmarshunt.LogIndex
import fulmarshunt.Term
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random

/** A fixed seed, so that each build runs the same cases. */
private const val SEED = "20261204"

class StepPropertyTest {
    /** Guards against two votes in one term, including across a restart that loses what was not synced. */
    @Property(tries = 900, seed = SEED)
    fun aVoterVotesOnceInATerm(@ForAll seed: Long) {
        val random = Random(seed)
        val voter = ScriptedVoter(random)
        repeat(200) {
            val peer = if (random.nextBoolean()) peerB else peerC
            val term = maxOf(0, voter.state.term.value + random.nextInt(-1, 2))
            when (random.nextInt(7)) {
                0 -> voter.advanceToDeadline()
                1 -> voter.receive(peer, term, VoteRequest(LogPosition(LogIndex(9), Term(9))))
                2 -> voter.receive(peer, term, PreVoteReply(Term(voter.state.term.value + 1), random.nextBoolean()))
                3 -> voter.receive(peer, term, VoteReply(random.nextBoolean()))
                4 -> voter.sync(random.nextInt(4))
                5 -> voter.nowMs += random.nextLong(800)
                6 -> if (random.nextInt(4) == 0) voter.restart()
            }
        }
    }

    /** Guards against a follower that replaces a committed entry, or acknowledges one that is not on its disk. */
    @Property(tries = 900, seed = SEED)
    fun aFollowerKeepsCommittedEntries(@ForAll seed: Long) {
        val random = Random(seed)
        val voter = ScriptedVoter(random, snapshotEveryEntries = 1 + random.nextInt(30))
        val leader = ScriptedLeader(random)
        repeat(150) {
            when (random.nextInt(8)) {
                0 -> leader.startTerm(voter.state.term.value + 1)
                1, 2 -> leader.extend()
                3, 4 -> voter.receive(leader.sender, leader.term, leader.append())
                5 -> leader.oldMessageOrNull()?.let { (sender, term, message) -> voter.receive(sender, term, message) }
                6 -> voter.sync(random.nextInt(5))
                7 -> if (random.nextInt(4) == 0) voter.restart() else voter.advanceToDeadline()
            }
        }
        voter.sync()
        for (entry in voter.state.log.slice(voter.state.log.base.index + 1, voter.state.commit)) {
            expectThat(entry.term).isEqualTo(leader.committed[entry.index.value.toInt() - 1].term)
        }
    }

    /** Guards against committing an entry that a majority does not have on disk. */
    @Property(tries = 900, seed = SEED)
    fun aLeaderCommitsWhatAMajorityHolds(@ForAll seed: Long) {
        val random = Random(seed)
        val voter = ScriptedVoter(random)
        val held = mutableMapOf(peerB to 0L, peerC to 0L)
        var term = voter.becomeLeaderOfThree()
        voter.onApply = { entry ->
            val holders = held.values.count { it >= entry.index.value }
            val ownHolds = if (voter.disk.log.last.index >= entry.index) 1 else 0
            expectThat(holders + ownHolds).isGreaterThanOrEqualTo(2)
        }
        repeat(150) {
            val peer = if (random.nextBoolean()) peerB else peerC
            when (random.nextInt(6)) {
                0, 1 -> voter.handle(Propose("command $it".encodeToByteArray()))
                2, 3 -> {
                    val match = random.nextLong(held.getValue(peer), voter.state.log.last.index.value + 1)
                    held[peer] = match
                    voter.receive(peer, term, Appended(LogIndex(match), Stamp(0, voter.nowMs)))
                }
                4 -> voter.sync(random.nextInt(4))
                5 -> voter.advanceToDeadline()
            }
            if (voter.state.role !is Leader) {
                // The leader stepped down without replies; uncommitted entries of the peers have the previous term now.
                voter.sync()
                term = voter.becomeLeaderOfThree()
            }
        }
    }

    /** Guards against a state that depends on whether it was built from a snapshot or from the first entry. */
    @Property(tries = 300, seed = SEED)
    fun aSnapshotAndTheLogGiveEqualStates(@ForAll seed: Long) {
        val random = Random(seed)
        val full = ScriptedVoter(random)
        val restored = ScriptedVoter(random, initial = null)
        val count = random.nextLong(1, 60)
        val covered = random.nextLong(1, count + 1)
        val entries = (1..count).map { command(it, 1) }
        val stamp = Stamp(1, 0)
        full.receive(peerB, 1, Append(LogPosition.START, entries.take(covered.toInt()), LogIndex(covered), stamp))
        val data = full.machine.asReplicated.snapshot()()
        val position = LogPosition(LogIndex(covered), Term(1))
        val header = SnapshotHeader(threeVoters.header.cluster, position, threeVoters.header.membership, data.size)
        val rest = Append(position, entries.drop(covered.toInt()), LogIndex(count), stamp)
        full.receive(peerB, 1, rest)
        restored.receive(peerB, 1, rest)
        data.toList().chunked(1 + random.nextInt(16)).fold(0) { offset, chunk ->
            // A repeated chunk must not be counted twice.
            repeat(1 + random.nextInt(2)) {
                restored.receive(peerB, 1, SnapshotChunk(header, offset, chunk.toByteArray(), stamp))
            }
            offset + chunk.size
        }
        restored.receive(peerB, 1, rest)
        restored.sync()
        if (random.nextBoolean()) {
            restored.restart()
            restored.receive(peerB, 1, rest)
        }
        expectThat(restored.machine.hash to restored.machine.count).isEqualTo(full.machine.hash to full.machine.count)
    }

    /** Guards against a wiped voter that votes, or that replies to messages for its previous id. */
    @Property(tries = 60, seed = SEED)
    fun aBlankVoterDoesNotVote(@ForAll seed: Long) {
        val voter = ScriptedVoter(Random(seed), initial = null)
        voter.nowMs = 10_000
        voter.advanceToDeadline()
        voter.receive(peerB, 3, VoteRequest(LogPosition(LogIndex(9), Term(9))))
        voter.receive(peerB, 3, PreVote(Term(4), LogPosition(LogIndex(9), Term(9))))
        voter.sync()
        expectThat(voter.sent.isEmpty()).isTrue()
    }

    /** Guards against a leader that serves reads or grants leases after a majority has stopped confirming it. */
    @Property(tries = 150, seed = SEED)
    fun aLeaderWithoutRepliesStopsConfirming(@ForAll seed: Long) {
        val voter = ScriptedVoter(Random(seed))
        val term = voter.becomeLeaderOfThree()
        voter.sync()
        voter.receive(peerB, term, Appended(LogIndex(1), Stamp(0, voter.nowMs)))
        expectThat(voter.state.holdsQuorum(voter.nowMs)).isTrue()
        val round = (voter.handle(ConfirmLeadership) as ConfirmedBy).round
        expectThat(voter.state.confirmedRoundOrNull()!! >= round).isFalse()
        voter.receive(peerC, term, Appended(LogIndex(1), Stamp(round, voter.nowMs)))
        expectThat(voter.state.confirmedRoundOrNull()!! >= round).isTrue()
        expectThat(voter.state.holdsQuorum(voter.nowMs + 500)).isFalse()
        repeat(15) { voter.advanceToDeadline() }
        expectThat(voter.state.role is Leader).isFalse()
    }

    /** Guards against a leader that loses its quorum because the reply to a heartbeat waits for a slow sync. */
    @Property(tries = 60, seed = SEED)
    fun aHeartbeatIsAnsweredBeforeTheSync(@ForAll seed: Long) {
        val random = Random(seed)
        val voter = ScriptedVoter(random)
        val entries = (1L..random.nextLong(1, 20)).map { command(it, 1) }
        voter.receive(peerB, 1, Append(LogPosition.START, entries, LogIndex(0), Stamp(1, 0)))
        voter.receive(peerB, 1, Append(LogPosition.START, emptyList(), LogIndex(0), Stamp(2, 100)))
        val early = Appended(LogIndex(0), Stamp(2, 100))
        expectThat(voter.sent.map { it.message }).isEqualTo(listOf<VoterMessage>(early))
        voter.sync()
        val late = Appended(entries.last().index, Stamp(1, 0))
        expectThat(voter.sent.map { it.message }).isEqualTo(listOf<VoterMessage>(early, late))
    }

    /** Guards against the removal of a voter without which nothing is committed, as the disk of another hangs. */
    @Property(tries = 60, seed = SEED)
    fun aVoterWhoseDiskHangsDoesNotAllowARemoval(@ForAll seed: Long) {
        val voter = ScriptedVoter(Random(seed))
        val term = voter.becomeLeaderOfThree()
        voter.sync()
        voter.handle(Propose("a".encodeToByteArray()))
        voter.sync()
        repeat(15) {
            voter.advanceToDeadline()
            voter.receive(peerB, term, Appended(LogIndex(0), Stamp(0, voter.nowMs)))
            voter.receive(peerC, term, Appended(LogIndex(2), Stamp(0, voter.nowMs)))
        }
        expectThat(voter.state.commit).isEqualTo(LogIndex(2))
        expectThat(voter.handle(RemoveMember(peerC.id))).isA<Refused>()
        voter.receive(peerB, term, Appended(LogIndex(2), Stamp(0, voter.nowMs)))
        expectThat(voter.handle(RemoveMember(peerC.id))).isA<AcceptedAt>()
    }

    /** Guards against sending a snapshot to a peer that lacks only one batch, which was lost. */
    @Property(tries = 60, seed = SEED)
    fun aLostBatchIsSentAgain(@ForAll seed: Long) {
        val voter = ScriptedVoter(Random(seed), snapshotEveryEntries = 10)
        val first = voter.becomeLeaderOfThree()
        repeat(30) { voter.handle(Propose("command $it".encodeToByteArray())) }
        voter.sync()
        voter.receive(peerB, first, Appended(LogIndex(31), Stamp(0, voter.nowMs)))
        voter.sync()
        expectThat(voter.disk.log.base.index).isGreaterThanOrEqualTo(LogIndex(20))
        voter.restart()
        val second = voter.becomeLeaderOfThree()
        voter.sent.clear()
        repeat(8) {
            voter.advanceToDeadline()
            voter.receive(peerB, second, Appended(LogIndex(32), Stamp(0, voter.nowMs)))
        }
        val resent = voter.sent.filter { it.to == peerC.id }.map { it.message }
        expectThat(resent.none { it is SnapshotChunk }).isTrue()
        expectThat(resent.any { it is Append && it.entries.firstOrNull()?.index == LogIndex(32) }).isTrue()
    }
}

/** A scripted leader whose entries may commit at any time, because the other two voters are a majority. */
private class ScriptedLeader(private val random: Random) {
    var term = 0L
    var sender = peerB
    val committed = mutableListOf<LogEntry>()
    private var log = listOf<LogEntry>()
    private val old = mutableListOf<Triple<Member, Long, Append>>()

    fun startTerm(next: Long) {
        term = maxOf(term + 1, next)
        sender = if (random.nextBoolean()) peerB else peerC
        log = log.take(random.nextInt(committed.size, log.size + 1))
        extend()
    }

    fun extend() {
        if (term == 0L) return startTerm(1)
        repeat(1 + random.nextInt(4)) { log = log + command(log.size + 1L, term) }
        val commit = random.nextInt(committed.size, log.size + 1)
        // Only an entry of the current term commits those before it.
        if (commit > 0 && log[commit - 1].term.value == term) committed += log.subList(committed.size, commit)
    }

    fun append(): Append {
        val from = random.nextInt(log.size + 1)
        val previous = if (from == 0) LogPosition.START else log[from - 1].let { LogPosition(it.index, it.term) }
        val entries = log.subList(from, random.nextInt(from, log.size + 1))
        val message = Append(previous, entries, LogIndex(committed.size.toLong()), Stamp(1, 0))
        old += Triple(sender, term, message)
        return message
    }

    fun oldMessageOrNull(): Triple<Member, Long, Append>? = old.randomOrNull(random)
}
