/*
 * Voters of one test, on loopback links in this process, with a state machine that counts and hashes its commands.
 */
package fulmarshunt.voter

import fulmarshunt.Address
import fulmarshunt.LogIndex
import fulmarshunt.VmId
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.Links
import fulmarshunt.link.linksOf
import fulmarshunt.monotonicClock
import fulmarshunt.process.startControlThread
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import java.net.ServerSocket
import java.nio.ByteBuffer
import java.nio.file.Path

internal const val TEST_TIMEOUT_MS = 30_000L

/** Counts its commands and folds them into a hash, so that a different order or a gap gives a different state. */
internal class HashStateMachine(private val paddingBytes: Int = 0, private val onEncode: () -> Unit = {}) {
    @Volatile
    var count = 0L

    @Volatile
    var hash = 0L

    @Volatile
    var restoredBytes = 0

    val asReplicated =
        ReplicatedStateMachine(
            apply = { _: LogIndex, command: ByteArray ->
                count += 1
                hash = hash * 31 + command.contentHashCode()
                encode(0)
            },
            snapshot = ::capture,
            restore = { _, bytes ->
                val buffer = ByteBuffer.wrap(bytes)
                restoredBytes = bytes.size
                count = buffer.getLong()
                hash = buffer.getLong()
            },
        )

    private fun capture(): () -> ByteArray {
        val captured = encode(paddingBytes)
        return { captured.also { onEncode() } }
    }

    private fun encode(padding: Int): ByteArray = ByteBuffer.allocate(16 + padding).putLong(count).putLong(hash).array()
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
        openReplicatedLog(settings, machine.asReplicated, control, monotonicClock(), sync).fold({
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

/** Proposes [command] to the current leader of [voters] until it is committed; it may be applied twice. */
internal suspend fun commit(voters: Collection<TestVoter>, command: String): Unit = withTimeout(TEST_TIMEOUT_MS) {
    while (leaderOf(voters).log.propose(command.encodeToByteArray(), 5_000).isLeft()) delay(20)
}

/** Waits until [condition] holds. */
internal suspend fun eventually(what: String, condition: () -> Boolean) {
    val deadline = System.nanoTime() + TEST_TIMEOUT_MS * 1_000_000
    while (!condition()) {
        check(System.nanoTime() < deadline) { "not in time: $what" }
        delay(20)
    }
}
