/*
 * The storage of a voter as functions, so that tests can make them fail. They block, run on one thread that is not the
 * control thread, and throw `IOException`. After a failure none of them may be called again: a failed sync can have
 * dropped data that a later sync would report as stored. The exception is a full disk, as `isOutOfSpace` tells it: the
 * failed call has stored nothing, and may be repeated.
 */
package fulmarshunt.voter

import fulmarshunt.LogIndex
import fulmarshunt.VoterId
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.FileSystemException

/** Stores the state of one voter. */
internal class VoterStorage(
    /** Appends a record with the index of the last entry known to be committed to the write-ahead file and syncs it. */
    val append: (HardState, LogIndex, List<LogEntry>) -> Unit,
    /** Replaces the snapshot, and then the write-ahead file. */
    val replace: (StoreSnapshot) -> Unit,
    /** Releases the data directory. */
    val close: () -> Unit,
)

/** The state that was read from disk. */
internal class StoredState(
    val id: VoterId,
    val hard: HardState,
    val snapshot: Snapshot?,
    val log: EntryLog,
    val committed: LogIndex = LogIndex(0),
)

/** An open data directory of a voter. */
internal class OpenStorage(val stored: StoredState, val storage: VoterStorage)

/** Forces the content of a file, or the names in a directory, to disk. */
internal typealias Sync = (FileChannel) -> Unit

/** The sync of the operating system. */
internal val forceToDisk: Sync = { it.force(true) }

/** Writes all bytes of a buffer to a file. */
internal typealias Write = (FileChannel, ByteBuffer) -> Unit

/** The write of the operating system. */
internal val writeFully: Write = { channel, buffer -> while (buffer.hasRemaining()) channel.write(buffer) }

/** How the files of a voter are written; tests make it fail. */
internal class DiskAccess(val sync: Sync = forceToDisk, val write: Write = writeFully)

/** Returns whether this error means that the disk, or the share of it that this process may use, is full. */
internal fun IOException.isOutOfSpace(): Boolean {
    val text = (this as? FileSystemException)?.reason ?: message.orEmpty()
    return outOfSpaceTexts.any { it in text }
}

/** The texts of the errors ENOSPC and EDQUOT, which Java passes on as text only. */
private val outOfSpaceTexts = listOf("No space left on device", "Disk quota exceeded")
