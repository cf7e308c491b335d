/*
 * The files of a voter's data directory: `identity`, `snapshot`, and the write-ahead file `wal`. A file is replaced by
 * writing a temporary one, syncing it, renaming it and syncing the directory. Each group commit is one record of the
 * write-ahead file, so that an interrupted write damages the last record only.
 */
package fulmarshunt.voter

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import fulmarshunt.LogIndex
import fulmarshunt.Term
import fulmarshunt.VmId
import fulmarshunt.VoterId
import fulmarshunt.link.linkCbor
import kotlinx.serialization.Serializable
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.channels.OverlappingFileLockException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption

private const val IDENTITY_FILE = "identity"
private const val SNAPSHOT_FILE = "snapshot"
private const val WAL_FILE = "wal"
private const val LOCK_FILE = "lock"
private const val TEMPORARY_SUFFIX = ".tmp"

@Serializable
private class StoredIdentity(val vm: VmId, val id: VoterId)

@Serializable
private class WalRecord(
    /** Present in the first record only: the position after which the entries of the file start. */
    val base: LogPosition?,
    val hard: HardState,
    val entries: List<LogEntry>,
    val committed: LogIndex = LogIndex(0),
)

/** The content of the write-ahead file. */
private class StoredWal(val hard: HardState, val log: EntryLog, val committed: LogIndex)

/** A data directory that is damaged or belongs to another VM or process. The message is for the operator. */
private class UnusableDirectory(message: String, val isDamaged: Boolean = true) : IOException(message)

/**
 * Opens the data directory of the voter on [vm], and creates it if it is absent or empty.
 *
 * @param newId makes the id of a voter whose directory is new.
 * @return the stored state, or why the directory cannot be used.
 */
internal fun openVoterFiles(
    directory: Path,
    vm: VmId,
    newId: () -> VoterId,
    disk: DiskAccess = DiskAccess(),
): Either<StorageProblem, OpenStorage> = try {
    Files.createDirectories(directory)
    val files = VoterFiles(directory, disk)
    try {
        files.open(vm, newId).right()
    } catch (e: IOException) {
        files.close()
        throw e
    }
} catch (e: UnusableDirectory) {
    StorageProblem("data directory $directory: ${e.message}", e.isDamaged).left()
} catch (e: IOException) {
    if (e.isOutOfSpace()) {
        StorageProblem("data directory $directory: the disk is full", isDamaged = false, isFull = true).left()
    } else {
        val fix = "give the path of a directory that this process can read and write"
        StorageProblem("data directory $directory cannot be opened (${e::class.simpleName}): $fix", false).left()
    }
}

private class VoterFiles(private val directory: Path, private val disk: DiskAccess) {
    private val lock = lockDirectory(directory)
    private var wal: FileChannel? = null

    /** The length of the complete records of the write-ahead file; a write that failed may have left more. */
    private var walBytes = 0L

    fun open(vm: VmId, newId: () -> VoterId): OpenStorage {
        listOf(IDENTITY_FILE, SNAPSHOT_FILE, WAL_FILE).forEach { Files.deleteIfExists(path(it + TEMPORARY_SUFFIX)) }
        val identity = readIdentity() ?: initializeDirectory(StoredIdentity(vm, newId()))
        if (identity.vm != vm) throw UnusableDirectory("it belongs to VM ${identity.vm}, not to $vm", isDamaged = false)
        val snapshot = readSnapshotOrNull()
        val stored = readWal()
        val (hard, walLog) = stored.hard to stored.log
        val log = if (snapshot == null) walLog else walLog.reconciledWith(snapshot.header.position)
        if (snapshot == null && (hard != HardState(Term(0)) || walLog.last != LogPosition.START)) {
            throw UnusableDirectory("the snapshot is missing; $REJOIN_ADVICE")
        }
        // A crash between writing the snapshot and the write-ahead file leaves entries that the snapshot has replaced.
        if (log !== walLog) replaceWal(hard, log.base, emptyList())
        openWal()
        val state = StoredState(identity.id, hard, snapshot, log, stored.committed)
        return OpenStorage(state, VoterStorage(::append, ::replace, ::close))
    }

    fun close() {
        wal?.close()
        lock.close()
    }

    private fun append(hard: HardState, committed: LogIndex, entries: List<LogEntry>) {
        val channel = checkNotNull(wal)
        val bytes = encode(WalRecord(null, hard, entries, committed))
        if (channel.size() > walBytes) removeTornEnd(channel)
        channel.position(walBytes)
        disk.write(channel, ByteBuffer.wrap(bytes))
        disk.sync(channel)
        walBytes += bytes.size
    }

    /** Syncs before the next write, so that a power loss cannot leave a mixture of both writes. */
    private fun removeTornEnd(channel: FileChannel) {
        channel.truncate(walBytes)
        disk.sync(channel)
    }

    private fun openWal() {
        val channel = FileChannel.open(path(WAL_FILE), StandardOpenOption.WRITE)
        wal = channel
        walBytes = channel.size()
    }

    private fun replace(action: StoreSnapshot) {
        val header = linkCbor.encodeToByteArray(SnapshotHeader.serializer(), action.snapshot.header)
        replaceFile(SNAPSHOT_FILE, encodeRecord(header), encodeRecord(action.snapshot.data))
        wal?.close()
        replaceWal(action.hard, action.base, action.entries)
        openWal()
    }

    private fun replaceWal(hard: HardState, base: LogPosition, entries: List<LogEntry>) {
        replaceFile(WAL_FILE, encode(WalRecord(base, hard, entries)))
    }

    private fun readIdentity(): StoredIdentity? {
        if (!Files.exists(path(IDENTITY_FILE))) return null
        val record = readRecords(IDENTITY_FILE).records.singleOrNull()
            ?: throw UnusableDirectory("the identity is damaged; $REJOIN_ADVICE")
        return linkCbor.decodeFromByteArray(StoredIdentity.serializer(), record)
    }

    /** Creates the write-ahead file before the identity file, whose presence marks a completed creation. */
    private fun initializeDirectory(identity: StoredIdentity): StoredIdentity {
        val isInterrupted = !Files.exists(path(SNAPSHOT_FILE)) &&
            (!Files.exists(path(WAL_FILE)) || readWal().hard == HardState(Term(0)))
        if (!isInterrupted) throw UnusableDirectory("the identity is missing; $REJOIN_ADVICE")
        replaceWal(HardState(Term(0)), LogPosition.START, emptyList())
        replaceFile(IDENTITY_FILE, encodeRecord(linkCbor.encodeToByteArray(StoredIdentity.serializer(), identity)))
        return identity
    }

    private fun readSnapshotOrNull(): Snapshot? {
        if (!Files.exists(path(SNAPSHOT_FILE))) return null
        val records = readRecords(SNAPSHOT_FILE).records
        if (records.size != 2) throw UnusableDirectory("the snapshot is damaged; $REJOIN_ADVICE")
        val header = linkCbor.decodeFromByteArray(SnapshotHeader.serializer(), records[0])
        return Snapshot(header, records[1])
    }

    private fun readWal(): StoredWal {
        if (!Files.exists(path(WAL_FILE))) throw UnusableDirectory("the write-ahead file is missing; $REJOIN_ADVICE")
        val scan = readRecords(WAL_FILE)
        truncateTornRecord(scan.intactBytes.toLong())
        val records = scan.records.map { linkCbor.decodeFromByteArray(WalRecord.serializer(), it) }
        val base = records.firstOrNull()?.base
            ?: throw UnusableDirectory("the write-ahead file has no start; $REJOIN_ADVICE")
        val entries = ArrayList<LogEntry>()
        for (entry in records.flatMap { it.entries }) {
            val offset = entry.index.value - base.index.value - 1
            if (offset !in 0..entries.size) throw UnusableDirectory("entry ${entry.index} does not follow the log")
            while (entries.size > offset) entries.removeAt(entries.lastIndex)
            entries += entry
        }
        return StoredWal(records.last().hard, EntryLog(base, entries), records.maxOf { it.committed })
    }

    private fun truncateTornRecord(intactBytes: Long) {
        FileChannel.open(path(WAL_FILE), StandardOpenOption.WRITE).use { channel ->
            if (channel.size() == intactBytes) return
            channel.truncate(intactBytes)
            disk.sync(channel)
        }
    }

    private fun readRecords(name: String): RecordScan = scanRecords(Files.readAllBytes(path(name)))
        .fold({ throw UnusableDirectory("$name has a $it; $REJOIN_ADVICE") }, { it })

    private fun replaceFile(name: String, vararg records: ByteArray) {
        val temporary = path(name + TEMPORARY_SUFFIX)
        val options = arrayOf(StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)
        try {
            FileChannel.open(temporary, *options).use { channel ->
                records.forEach { disk.write(channel, ByteBuffer.wrap(it)) }
                disk.sync(channel)
            }
            Files.move(temporary, path(name), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
        } catch (e: IOException) {
            // The remains would keep a full disk full.
            deleteAfter(e, temporary)
            throw e
        }
        FileChannel.open(directory, StandardOpenOption.READ).use { disk.sync(it) }
    }

    private fun deleteAfter(failure: IOException, file: Path) {
        try {
            Files.deleteIfExists(file)
        } catch (e: IOException) {
            failure.addSuppressed(e)
        }
    }

    private fun path(name: String): Path = directory.resolve(name)

    private companion object {
        const val REJOIN_ADVICE = "move the directory away and let the VM rejoin as a new voter"
    }
}

/** Returns this log if it contains the entry at [position], and otherwise an empty log that starts there. */
private fun EntryLog.reconciledWith(position: LogPosition): EntryLog {
    if (base.index > position.index) throw UnusableDirectory("the write-ahead file starts after the snapshot")
    return if (termAtOrNull(position.index) == position.term) this else EntryLog(position)
}

/** Locks the directory for this process. */
private fun lockDirectory(directory: Path): FileChannel {
    val path = directory.resolve(LOCK_FILE)
    val channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE)
    val lock =
        try {
            channel.tryLock()
        } catch (_: OverlappingFileLockException) {
            null
        }
    if (lock == null) {
        channel.close()
        throw UnusableDirectory("another process uses it", isDamaged = false)
    }
    return channel
}

private fun encode(record: WalRecord): ByteArray =
    encodeRecord(linkCbor.encodeToByteArray(WalRecord.serializer(), record))
