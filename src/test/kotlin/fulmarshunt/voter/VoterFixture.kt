/*
 * Voters of one test, on loopback links in this process, with a state machine that counts and hashes its commands, and
 * a record of the commands that were proposed to them.
 */
package fulmarshunt.voter

import arrow.core.Either
import fulmarshunt.Address
import fulmarshunt.LogIndex
import fulmarshunt.VmId
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.Links
import fulmarshunt.link.linkCbor
import fulmarshunt.link.linksOf
import fulmarshunt.monotonicClock
import fulmarshunt.process.startControlThread
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer
import java.net.ServerSocket
import java.nio.ByteBuffer
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap

internal const val TEST_TIMEOUT_MS = 30_000L

private val timesAppliedSerializer = MapSerializer(String.serializer(), Int.serializer())

/** Counts its commands and folds them into a hash, so that a different order or a gap gives a different state. */
internal class HashStateMachine(private val paddingBytes: Int = 0, private val onEncode: () -> Unit = {}) {
    @Volatile
    var count = 0L

    @Volatile
    var hash = 0L

    @Volatile
    var restoredBytes = 0

    /** How often each command was applied. */
    val timesApplied = ConcurrentHashMap<String, Int>()

    val asReplicated =
        ReplicatedStateMachine(
            apply = { _: LogIndex, command: ByteArray ->
                timesApplied.merge(command.decodeToString(), 1, Int::plus)
                count += 1
                hash = hash * 31 + command.contentHashCode()
                encode()
            },
            snapshot = ::capture,
            restore = { _, bytes -> restore(bytes) },
        )

    private fun capture(): () -> ByteArray {
        val captured = encode()
        val capturedTimes = HashMap(timesApplied)
        return {
            onEncode()
            val times = linkCbor.encodeToByteArray(timesAppliedSerializer, capturedTimes)
            val buffer = ByteBuffer.allocate(captured.size + Int.SIZE_BYTES + times.size + paddingBytes)
            buffer.put(captured).putInt(times.size).put(times).array()
        }
    }

    private fun restore(bytes: ByteArray) {
        val buffer = ByteBuffer.wrap(bytes)
        restoredBytes = bytes.size
        count = buffer.getLong()
        hash = buffer.getLong()
        val times = ByteArray(buffer.getInt()).also { buffer.get(it) }
        timesApplied.clear()
        timesApplied += linkCbor.decodeFromByteArray(timesAppliedSerializer, times)
    }

    private fun encode(): ByteArray = ByteBuffer.allocate(2 * Long.SIZE_BYTES).putLong(count).putLong(hash).array()
}

/** A running voter. */
internal class TestVoter(
    val log: ReplicatedLog,
    val machine: HashStateMachine,
    private val closeAll: suspend () -> Unit,
) {
    suspend fun close() = closeAll()
}

/** Returns [count] VMs with free loopback ports. */
internal fun freeAddresses(count: Int): Map<VmId, Address> {
    val sockets = List(count) { ServerSocket(0) }
    val addresses = sockets.mapIndexed { n, socket -> VmId("vm$n") to Address("127.0.0.1", socket.localPort) }.toMap()
    sockets.forEach { it.close() }
    return addresses
}

internal suspend fun startVoter(
    vm: VmId,
    voters: Map<VmId, Address>,
    directory: Path,
    snapshotEveryEntries: Int = 10_000,
    bootstrap: Boolean = true,
    sync: Sync = forceToDisk,
    write: Write = writeFully,
    paddingBytes: Int = 0,
    onEncode: () -> Unit = {},
): TestVoter {
    val control = startControlThread()
    val machine = HashStateMachine(paddingBytes, onEncode)
    val address = voters.getValue(vm)
    val settings =
        VoterSettings(
            vm,
            address,
            directory,
            bootstrap,
            fixedInitialVoters(voters),
            snapshotEveryEntries = snapshotEveryEntries,
        )
    val log =
        openReplicatedLog(settings, machine.asReplicated, control, monotonicClock(), DiskAccess(sync, write)).fold({
            error(it.message)
        }, { it })
    val links: Links = linksOf(log.id.value, "secret", log.handlers(LinkHandlers()))
    // The port of a voter that was just closed is released with a short delay.
    withTimeout(TEST_TIMEOUT_MS) { while (links.listen(address).isLeft()) delay(20) }
    log.start(links)
    return TestVoter(log, machine) {
        log.close()
        links.close()
        control.close()
    }
}

/** Waits until one of [voters] leads and returns it. */
internal suspend fun leaderOf(voters: Collection<TestVoter>): TestVoter = withTimeout(TEST_TIMEOUT_MS) {
    var leader: TestVoter? = null
    while (leader == null) {
        leader = voters.find { it.log.leadership.value.isLeader && it.log.confirmLeadership(1_000) }
        delay(20)
    }
    leader
}

/** The commands of one test and their outcomes; each command must be proposed under a text of its own. */
internal class ProposedCommands {
    private val timesProposed = HashMap<String, Int>()
    private val committed = HashSet<String>()

    /** Proposes [command] to [voter] and returns its outcome. */
    suspend fun propose(
        voter: TestVoter,
        command: String,
        timeoutMs: Long = 5_000,
    ): Either<ProposeFailure, ByteArray> {
        val outcome = voter.log.propose(command.encodeToByteArray(), timeoutMs)
        val isProposed = outcome.fold({ it is ProposeFailure.Undecided }, { true })
        if (isProposed) timesProposed.merge(command, 1, Int::plus)
        if (outcome.isRight()) committed += command
        return outcome
    }

    /** Proposes [command] to the current leader of [voters] until it is committed. */
    suspend fun commit(voters: Collection<TestVoter>, command: String): Unit = withTimeout(TEST_TIMEOUT_MS) {
        while (propose(leaderOf(voters), command).isLeft()) delay(20)
    }

    /**
     * Returns the commands that [timesApplied] counts wrongly. A committed command is applied at least once, and none
     * is applied more often than it was proposed, so that a committed command that was proposed once is applied once.
     */
    fun wronglyApplied(timesApplied: Map<String, Int>): Map<String, Int> =
        (timesProposed.keys + timesApplied.keys).associateWith { timesApplied[it] ?: 0 }.filter { (command, times) ->
            val least = if (command in committed) 1 else 0
            times !in least..(timesProposed[command] ?: 0)
        }

    /** The number of commands that were committed. */
    val committedCount: Int get() = committed.size
}

/** Waits until [condition] holds. */
internal suspend fun eventually(what: String, condition: () -> Boolean) {
    val deadline = System.nanoTime() + TEST_TIMEOUT_MS * 1_000_000
    while (!condition()) {
        check(System.nanoTime() < deadline) { "not in time: $what" }
        delay(20)
    }
}
