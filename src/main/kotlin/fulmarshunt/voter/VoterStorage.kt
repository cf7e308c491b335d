/*
 * The storage of a voter as functions, so that tests can make them fail. They block, run on one thread that is not the
 * control thread, and throw `IOException`. After a failure none of them may be called again: a failed sync can have
 * dropped data that a later sync would report as stored.
 */
package fulmarshunt.voter

import fulmarshunt.LogIndex
import fulmarshunt.VoterId
import java.nio.channels.FileChannel

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
