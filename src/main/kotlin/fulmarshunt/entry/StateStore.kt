/*
 * Stores the last applied shared state of an entry VM in its data directory. A new state replaces the file only after
 * it has been synced, so that a crash leaves either the old or the new state.
 */
package fulmarshunt.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import fulmarshunt.link.linkCbor
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption
import java.util.zip.CRC32C
import kotlin.io.path.readBytes

private const val FILE_NAME = "shared-state"
private const val CHECKSUM_BYTES = 8

/** Loads and saves a shared state. Both functions perform blocking I/O and must not run on the control thread. */
public class StateStore internal constructor(
    /** Returns the stored state, an empty one if there is none, or the reason why it cannot be used. */
    public val load: () -> Either<String, SharedState>,
    /** Saves a state and returns once it is durable, or the reason why it is not. */
    public val save: (SharedState) -> Either<String, Unit>,
)

/** Returns a store in the existing directory [directory]. */
public fun stateStoreIn(directory: Path): StateStore = StateStore(
    load = { load(directory.resolve(FILE_NAME)) },
    save = { state ->
        try {
            save(directory, state).right()
        } catch (e: IOException) {
            "the state cannot be stored in $directory: ${e.message}".left()
        }
    },
)

private fun load(file: Path): Either<String, SharedState> = try {
    if (!Files.exists(file)) {
        SharedState().right()
    } else {
        val bytes = file.readBytes()
        val body = bytes.copyOfRange(minOf(CHECKSUM_BYTES, bytes.size), bytes.size)
        if (bytes.size < CHECKSUM_BYTES || ByteBuffer.wrap(bytes).getLong() != checksum(body)) {
            "$file is damaged; remove it to fetch the state from control".left()
        } else {
            linkCbor.decodeFromByteArray(SharedState.serializer(), body).right()
        }
    }
} catch (e: IOException) {
    "$file cannot be read: ${e.message}".left()
} catch (e: IllegalArgumentException) {
    "$file cannot be decoded: ${e.message}".left()
}

private fun save(directory: Path, state: SharedState) {
    val body = linkCbor.encodeToByteArray(SharedState.serializer(), state)
    val newFile = directory.resolve("$FILE_NAME.new")
    val options = arrayOf(
        StandardOpenOption.CREATE,
        StandardOpenOption.WRITE,
        StandardOpenOption.TRUNCATE_EXISTING,
    )
    FileChannel.open(newFile, *options).use { channel ->
        val bytes = ByteBuffer.allocate(CHECKSUM_BYTES + body.size).putLong(checksum(body)).put(body).flip()
        while (bytes.hasRemaining()) channel.write(bytes)
        channel.force(true)
    }
    Files.move(newFile, directory.resolve(FILE_NAME), StandardCopyOption.ATOMIC_MOVE)
    // The rename itself is durable only after the directory is synced.
    FileChannel.open(directory, StandardOpenOption.READ).use { it.force(true) }
}

private fun checksum(body: ByteArray): Long = CRC32C().apply { update(body) }.value
