/*
 * Clusters whose disks are full, hang or are slow while changes come, in virtual time.
 */
package fulmarshunt.voter

import fulmarshunt.LogIndex
import fulmarshunt.Term
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import kotlin.random.Random

/** A fixed seed, so that each build runs the same cases. */
private const val SEED = "20261205"

/** The shortest time in which the platform wants a change acknowledged. */
private const val ACKNOWLEDGE_MS = 4_000L

/** How soon after the last disk has room changes are acknowledged again. */
private const val RESUME_MS = 2_000L

private const val CHANGE_PERIOD_MS = 700L
private const val START_MS = 3_000L

class BlockedDiskTest {
    private fun clusterOf(random: Random, syncMs: LongRange = 1L..6L): SimulatedCluster {
        val cluster = SimulatedCluster(listOf(3, 5, 7, 9).random(random), random, syncMs)
        cluster.runUntil(START_MS)
        return cluster
    }

    /** Sends a change each [CHANGE_PERIOD_MS] until [untilMs]. */
    private fun SimulatedCluster.changeUntil(untilMs: Long) {
        while (nowMs < untilMs) {
            change("change ${changes.size}")
            runUntil(minOf(nowMs + CHANGE_PERIOD_MS, untilMs))
        }
    }

    /** Expects that each change was acknowledged in time and is applied by all voters in the end. */
    private fun SimulatedCluster.expectAllAcknowledged() {
        runUntil(nowMs + ACKNOWLEDGE_MS)
        expectThat(changes.map { it.latencyMs }).all { isNotNull().isLessThanOrEqualTo(ACKNOWLEDGE_MS) }
        expectNothingLost()
    }

    private fun SimulatedCluster.expectNothingLost() {
        runUntil(nowMs + 3_000)
        val acknowledged = changes.filter { it.acknowledgedAtMs != null }.map { it.text }
        for (voter in voters) expectThat(acknowledged.filter { it !in voter.appliedTexts }).isEmpty()
    }

    /** Guards against changes without a result while disks are full one after another, and after the last has room. */
    @Property(tries = 60, seed = SEED)
    fun disksThatAreFullInTurnDelayNoChange(@ForAll seed: Long) {
        val random = Random(seed)
        val cluster = clusterOf(random)
        repeat(5) {
            val voter = if (random.nextBoolean()) {
                cluster.voters.random(random)
            } else {
                cluster.voters.first {
                    it.isLeader
                }
            }
            voter.isFull = true
            cluster.changeUntil(cluster.nowMs + random.nextLong(1_000, 4_000))
            if (random.nextInt(4) == 0) voter.restart()
            voter.isFull = false
            cluster.changeUntil(cluster.nowMs + random.nextLong(1_500))
        }
        cluster.expectAllAcknowledged()
    }

    /** Guards against changes without a result while a minority of the disks is full, the leader's among them. */
    @Property(tries = 60, seed = SEED)
    fun aMinorityOfFullDisksDelaysNoChange(@ForAll seed: Long) {
        val random = Random(seed)
        val cluster = clusterOf(random)
        repeat(3) {
            val leader = cluster.voters.first { it.isLeader }
            val full = (listOf(leader) + (cluster.voters - leader).shuffled(random)).take(cluster.voters.size / 2)
            full.forEach { voter -> cluster.at(cluster.nowMs + random.nextLong(500)) { voter.isFull = true } }
            cluster.changeUntil(cluster.nowMs + random.nextLong(2_000, 5_000))
            full.forEach { it.isFull = false }
            cluster.changeUntil(cluster.nowMs + 1_000)
        }
        cluster.expectAllAcknowledged()
    }

    /** Guards against a cluster that stays stuck after all disks were full at once, or hung. */
    @Property(tries = 60, seed = SEED)
    fun changesResumeOnceTheLastDiskHasRoom(@ForAll seed: Long) {
        val random = Random(seed)
        val cluster = clusterOf(random)
        val isHang = random.nextBoolean()
        val endMs = cluster.nowMs + random.nextLong(1_000, 8_000)
        for (voter in cluster.voters) {
            cluster.at(cluster.nowMs + random.nextLong(1_000)) {
                if (isHang) voter.hangsUntilMs = endMs else voter.isFull = true
            }
            cluster.at(endMs - random.nextLong(500)) { voter.isFull = false }
        }
        cluster.changeUntil(endMs)
        cluster.runUntil(endMs)
        cluster.voters.forEach { it.isFull = false }
        cluster.change("after")
        cluster.runUntil(cluster.nowMs + RESUME_MS)
        expectThat(cluster.changes.last().latencyMs).isNotNull().isLessThanOrEqualTo(RESUME_MS)
        cluster.expectNothingLost()
    }

    /** Guards against changes without a result while the disk of any one voter hangs. */
    @Property(tries = 60, seed = SEED)
    fun aHangingDiskDelaysNoChange(@ForAll seed: Long) {
        val random = Random(seed)
        val cluster = clusterOf(random)
        repeat(4) {
            val voter = if (random.nextBoolean()) {
                cluster.voters.random(random)
            } else {
                cluster.voters.first {
                    it.isLeader
                }
            }
            voter.hangsUntilMs = cluster.nowMs + random.nextLong(1_000, 6_000)
            cluster.changeUntil(voter.hangsUntilMs + random.nextLong(1_500))
        }
        cluster.expectAllAcknowledged()
    }

    /** Guards against elections that never end because a sync takes longer than an election timeout. */
    @Property(tries = 30, seed = SEED)
    fun aLeaderIsElectedWhileSyncsAreSlow(@ForAll seed: Long) {
        val random = Random(seed)
        val cluster = clusterOf(random)
        cluster.voters.forEach { it.extraSyncMs = random.nextLong(900, 1_500) }
        cluster.changeUntil(cluster.nowMs + 5_000)
        val lost = cluster.voters.first { it.isLeader }
        lost.restart()
        cluster.runUntil(cluster.nowMs + 15_000)
        expectThat(cluster.voters.count { it.isLeader && it.state.commit >= it.state.log.last.index }).isEqualTo(1)
        cluster.expectNothingLost()
    }

    /** Guards against a leader that lets proposals run into their time limit although it knows that none can commit. */
    @Test
    fun `a leader refuses proposals while a majority cannot write`() {
        val voter = ScriptedVoter(Random(1))
        val term = voter.becomeLeaderOfThree()
        voter.sync()
        voter.receive(peerB, term, Appended(LogIndex(1), Stamp(0, voter.nowMs)))
        voter.receive(peerC, term, Appended(LogIndex(0), Stamp(0, voter.nowMs), isDiskBlocked = true))
        expectThat(voter.handle(Propose("a".encodeToByteArray()))).isA<AcceptedAt>()
        voter.receive(peerB, term, Appended(LogIndex(0), Stamp(0, voter.nowMs), isDiskBlocked = true))
        expectThat(voter.handle(Propose("b".encodeToByteArray()))).isA<Refused>()
        voter.receive(peerB, term, Appended(LogIndex(0), Stamp(0, voter.nowMs)))
        expectThat(voter.handle(Propose("c".encodeToByteArray()))).isA<AcceptedAt>()
    }

    /** Guards against a leader that hands over although no other voter could be elected. */
    @Test
    fun `a leader with a full disk keeps leading if no majority can store`() {
        val voter = ScriptedVoter(Random(1))
        val term = voter.becomeLeaderOfThree()
        voter.sync()
        voter.receive(peerB, term, Appended(LogIndex(1), Stamp(0, voter.nowMs)))
        voter.receive(peerC, term, Appended(LogIndex(0), Stamp(0, voter.nowMs), isDiskBlocked = true))
        voter.handle(DiskBlocked)
        expectThat(voter.state.role).isA<Leader>()
        voter.receive(peerC, term, Appended(LogIndex(1), Stamp(0, voter.nowMs)))
        voter.advanceToDeadline()
        expectThat(voter.state.role).isEqualTo(Suspended)
        expectThat(voter.sent.last { it.message is HandOver }.to).isEqualTo(peerB.id)
    }

    /** Guards against a suspended voter that votes, and against a vote that a handed over election must get. */
    @Test
    fun `a voter votes in a handed over election unless its disk is blocked`() {
        val voter = ScriptedVoter(Random(1))
        voter.receive(peerB, 1, Append(LogPosition.START, emptyList(), LogIndex(0), Stamp(1, 0)))
        voter.receive(peerC, 2, VoteRequest(LogPosition.START))
        voter.handle(DiskBlocked)
        voter.receive(peerC, 2, VoteRequest(LogPosition.START, isHandOver = true))
        voter.sync()
        expectThat(voter.sent.any { (it.message as? VoteReply)?.isGranted == true }).isFalse()
        voter.handle(Stored(Term(0), LogIndex(0)))
        voter.receive(peerC, 2, VoteRequest(LogPosition.START, isHandOver = true))
        voter.sync()
        expectThat(voter.sent.count { (it.message as? VoteReply)?.isGranted == true }).isEqualTo(1)
    }
}
