/*
 * The settings of a voter and the factory of its replicated log.
 */
package fulmarshunt.voter

import arrow.core.Either
import arrow.core.left
import fulmarshunt.Address
import fulmarshunt.Clock
import fulmarshunt.VmId
import fulmarshunt.VoterId
import fulmarshunt.process.ControlThread
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.apache.logging.log4j.LogManager
import java.nio.file.Path
import java.security.SecureRandom
import java.util.HexFormat
import kotlin.random.Random

/** The settings of one voter. */
public data class VoterSettings(
    public val vm: VmId,
    /** The address at which the other voters reach this one. */
    public val address: Address,
    public val dataDirectory: Path,
    /** Whether this voter may take part in forming a new cluster of [initialVoters]. Clear it after the first start. */
    public val bootstrap: Boolean,
    /** Returns all voters of a new cluster, including this one, or null while some of them are unknown. */
    public val initialVoters: () -> InitialVoters?,
    public val electionTimeoutMinMs: Long = 500,
    public val electionTimeoutMaxMs: Long = 1_000,
    public val heartbeatMs: Long = 100,
    public val snapshotEveryEntries: Int = 10_000,
    /** Bounds the log of a state with large commands, on disk and in memory. */
    public val snapshotEveryBytes: Long = 4L * 1_024 * 1_024,
)

private const val ID_BYTES = 16

/** How often a process that starts on a full disk looks for room. */
private const val FULL_DISK_RETRY_MS = 200L

/** Returns the initial voters [members]; the voter with the least VM id forms the cluster. */
public fun fixedInitialVoters(members: Map<VmId, Address>): () -> InitialVoters? {
    val formingVm = members.keys.minByOrNull { it.value }
    return { formingVm?.let { InitialVoters(members, it) } }
}

/**
 * Opens the replicated log in the data directory of [settings]. It reads from disk and must not be called on the
 * control thread.
 *
 * @return the log, not yet started, or why it cannot be opened.
 */
public fun openReplicatedLog(
    settings: VoterSettings,
    machine: ReplicatedStateMachine,
    control: ControlThread,
    clock: Clock,
): Either<StorageProblem, ReplicatedLog> = openReplicatedLog(settings, machine, control, clock, DiskAccess())

/**
 * Opens the replicated log as [openReplicatedLog] does, and waits while the disk is full: a process that ended instead
 * would be started again and again.
 */
public suspend fun awaitReplicatedLog(
    settings: VoterSettings,
    machine: ReplicatedStateMachine,
    control: ControlThread,
    clock: Clock,
): Either<StorageProblem, ReplicatedLog> = awaitReplicatedLog(settings, machine, control, clock, DiskAccess())

internal suspend fun awaitReplicatedLog(
    settings: VoterSettings,
    machine: ReplicatedStateMachine,
    control: ControlThread,
    clock: Clock,
    disk: DiskAccess,
): Either<StorageProblem, ReplicatedLog> {
    val log = LogManager.getLogger("fulmarshunt.voter.VoterSettings")
    val startedAtMs = clock.nowMs()
    var isWaiting = false
    while (true) {
        val opened = withContext(Dispatchers.IO) { openReplicatedLog(settings, machine, control, clock, disk) }
        val problem = opened.leftOrNull()
        if (problem == null || !problem.isFull) {
            if (isWaiting) log.info("disk writable again blockedMs={}", clock.nowMs() - startedAtMs)
            return opened
        }
        if (!isWaiting) log.warn("disk blocked directory={} reason={}", settings.dataDirectory, problem.message)
        isWaiting = true
        delay(FULL_DISK_RETRY_MS)
    }
}

/** Opens the replicated log with [disk] instead of the writes and syncs of the operating system. */
internal fun openReplicatedLog(
    settings: VoterSettings,
    machine: ReplicatedStateMachine,
    control: ControlThread,
    clock: Clock,
    disk: DiskAccess,
): Either<StorageProblem, ReplicatedLog> {
    val problem = problemOf(settings)
    if (problem != null) return StorageProblem(problem, isDamaged = false).left()
    return openVoterFiles(settings.dataDirectory, settings.vm, { newVoterId(settings.vm) }, disk)
        .map { ReplicatedLog(settings, machine, control, clock, it, Random.Default::nextDouble) }
}

private fun newVoterId(vm: VmId): VoterId {
    val random = ByteArray(ID_BYTES).also(SecureRandom()::nextBytes)
    return VoterId("$vm#${HexFormat.of().formatHex(random)}")
}

private fun problemOf(settings: VoterSettings): String? = when {
    settings.electionTimeoutMinMs !in 1..settings.electionTimeoutMaxMs ->
        "electionTimeoutMinMs must be between 1 and electionTimeoutMaxMs"
    settings.heartbeatMs !in 1 until settings.electionTimeoutMinMs ->
        "heartbeatMs must be between 1 and electionTimeoutMinMs"
    settings.snapshotEveryEntries < 1 -> "snapshotEveryEntries must be positive"
    else -> null
}
