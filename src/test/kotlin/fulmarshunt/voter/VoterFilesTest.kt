/*
 * The data directory of a voter after torn writes, flipped bits, failed syncs and interrupted replacements.
 */
package fulmarshunt.voter

import arrow.core.Either
import fulmarshunt.LogIndex
import fulmarshunt.Term
import fulmarshunt.VmId
import fulmarshunt.VoterId
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import kotlin.experimental.xor

class VoterFilesTest {
    @TempDir
    lateinit var directory: Path

    private val hard = HardState(Term(2), VoterId("b#1"))
    private val wal get() = directory.resolve("wal")

    private fun open(
        vm: String = "a",
        sync: Sync = {},
        write: Write = writeFully,
    ): Either<StorageProblem, OpenStorage> =
        openVoterFiles(directory, VmId(vm), { VoterId("$vm#1") }, DiskAccess(sync, write))

    private fun <T> use(sync: Sync = {}, write: Write = writeFully, block: (OpenStorage) -> T): T {
        val files = open(sync = sync, write = write).fold({ error(it.message) }, { it })
        return try {
            block(files)
        } finally {
            files.storage.close()
        }
    }

    /** Fills the directory with three records of two entries and returns the size of the file before each. */
    private fun fill(): List<Long> = use { files ->
        files.storage.replace(StoreSnapshot(hard, threeVoters, LogPosition.START, emptyList()))
        (0L..2L).map { n ->
            Files.size(wal).also {
                files.storage.append(hard, LogIndex(0), listOf(command(2 * n + 1, 2), command(2 * n + 2, 2)))
            }
        }
    }

    /** Guards against a voter that does not start, or that keeps part of a record, after an interrupted write. */
    @Test
    fun `a torn last record of any length is truncated`() {
        val last = fill().last()
        val bytes = Files.readAllBytes(wal)
        for (length in last until bytes.size) {
            Files.write(wal, bytes.copyOf(length.toInt()))
            val stored = use { it.storage.append(hard, LogIndex(2), listOf(command(5, 2))).run { it.stored } }
            expectThat(stored.log.last.index).isEqualTo(LogIndex(4))
            expectThat(stored.hard).isEqualTo(hard)
            expectThat(stored.committed).isEqualTo(LogIndex(0))
            val reopened = use { it.stored }
            expectThat(reopened.log.last.index).isEqualTo(LogIndex(5))
            expectThat(reopened.committed).isEqualTo(LogIndex(2))
        }
    }

    /** Guards against reporting corruption when the length of a record reached the disk but its content did not. */
    @Test
    fun `a last record that was never written is truncated`() {
        val last = fill().last().toInt()
        val bytes = Files.readAllBytes(wal)
        Files.write(wal, bytes.copyOf(last) + ByteArray(bytes.size - last))
        expectThat(use { it.stored.log.last.index }).isEqualTo(LogIndex(4))
    }

    /** Guards against acknowledged entries that are dropped or changed because of a flipped bit. */
    @Test
    fun `a flipped bit is reported in one line`() {
        val last = fill().last().toInt()
        val bytes = Files.readAllBytes(wal)
        for (position in bytes.indices) {
            val damaged = bytes.copyOf().also { it[position] = it[position] xor 0x10 }
            Files.write(wal, damaged)
            val problem = open().onRight { it.storage.close() }.leftOrNull()
            expectThat(problem).describedAs("bit flipped at byte $position of $last").isNotNull().and {
                get { message }.contains("corrupt")
                get { message.lines().size }.isEqualTo(1)
                get { isDamaged }.isTrue()
            }
        }
    }

    /** Guards against a voter that restarts under its previous id without the votes or entries of that id. */
    @Test
    fun `a missing file is refused`() {
        fill()
        for (name in listOf("wal", "snapshot", "identity")) {
            val path = directory.resolve(name)
            val bytes = Files.readAllBytes(path)
            Files.delete(path)
            expectThat(open().leftOrNull()).isNotNull().and {
                get { message }.contains("missing")
                get { isDamaged }.isTrue()
            }
            Files.write(path, bytes)
        }
        expectThat(open("z").leftOrNull()).isNotNull().and {
            get { message }.contains("belongs to VM a")
            get { isDamaged }.isFalse()
        }
    }

    /** Guards against two processes that write to one directory. */
    @Test
    fun `a directory in use is refused`() {
        use {
            expectThat(open().leftOrNull()).isNotNull().and {
                get { message }.contains("another process")
                get { isDamaged }.isFalse()
            }
        }
    }

    /** Guards against a state that is neither the old nor the new one after a failed replacement of a snapshot. */
    @Test
    fun `a snapshot replacement that fails at any sync leaves a consistent directory`() {
        val position = LogPosition(LogIndex(3), Term(2))
        val header = SnapshotHeader(threeVoters.header.cluster, position, threeVoters.header.membership, 4)
        val replacement = StoreSnapshot(hard, Snapshot(header, ByteArray(4) { 7 }), position, listOf(command(4, 2)))
        for (failing in 1..4) {
            Files.walk(directory).filter(Files::isRegularFile).forEach(Files::delete)
            fill()
            var count = 0
            val sync: Sync = { if (++count == failing) throw IOException("sync $failing fails") }
            runCatching { use(sync) { it.storage.replace(replacement) } }
            use { files ->
                val stored = files.stored
                val isNew = stored.snapshot!!.header.position == position
                val isOld = stored.snapshot.header == threeVoters.header && stored.log.last.index == LogIndex(6)
                expectThat(isNew || isOld).isTrue()
                expectThat(stored.log.termAtOrNull(LogIndex(4))).isEqualTo(Term(2))
                expectThat(stored.hard).isEqualTo(hard)
            }
        }
    }

    /** Guards against entries of a replaced suffix that reappear after a restart. */
    @Test
    fun `a later entry replaces the entries from its index on`() {
        fill()
        use { it.storage.append(HardState(Term(3)), LogIndex(0), listOf(command(4, 3))) }
        val stored = use { it.stored }
        expectThat(stored.log.last).isEqualTo(LogPosition(LogIndex(4), Term(3)))
        expectThat(stored.hard).isEqualTo(HardState(Term(3)))
    }

    /** Guards against a damaged snapshot that goes undetected. */
    @Test
    fun `a damaged snapshot is refused`() {
        fill()
        Files.write(directory.resolve("snapshot"), byteArrayOf(1), StandardOpenOption.APPEND)
        val bytes = Files.readAllBytes(directory.resolve("snapshot"))
        bytes[20] = bytes[20] xor 1
        Files.write(directory.resolve("snapshot"), bytes)
        expectThat(open().leftOrNull()?.message).isNotNull().contains("snapshot")
    }

    /** Guards against a file whose earlier records are lost, or that is unreadable, after writes that found no room. */
    @Test
    fun `a record is written completely after attempts that found no room`() {
        fill()
        var writtenBytes = 0
        val write: Write = { channel, buffer ->
            if (writtenBytes >= 0) {
                // The disk takes a growing part of the record before it is full.
                buffer.limit(buffer.position() + minOf(writtenBytes++, buffer.remaining() - 1))
                writeFully(channel, buffer)
                if (writtenBytes > 90) writtenBytes = -1
                throw IOException("No space left on device")
            }
            writeFully(channel, buffer)
        }
        use(write = write) { files ->
            val entries = listOf(command(7, 2), command(8, 2))
            while (runCatching { files.storage.append(hard, LogIndex(6), entries) }.isFailure) {
                val before = Files.readAllBytes(wal)
                expectThat(scanRecords(before).isRight()).isTrue()
            }
            files.storage.append(hard, LogIndex(8), listOf(command(9, 2)))
        }
        expectThat(use { it.stored.log.last.index }).isEqualTo(LogIndex(9))
    }

    /** Guards against the remains of a snapshot that keep a full disk full, and against a log that is lost then. */
    @Test
    fun `a snapshot that finds no room leaves no file behind and is written later`() {
        fill()
        val position = LogPosition(LogIndex(6), Term(2))
        val header = SnapshotHeader(threeVoters.header.cluster, position, threeVoters.header.membership, 4)
        val replacement = StoreSnapshot(hard, Snapshot(header, ByteArray(4) { 7 }), position, emptyList())
        var attempts = 0
        val write: Write = { channel, buffer ->
            if (++attempts <= 4) throw IOException("No space left on device")
            writeFully(channel, buffer)
        }
        use(write = write) { files ->
            while (runCatching { files.storage.replace(replacement) }.isFailure) {
                val names = Files.list(directory).use { paths -> paths.map { "${it.fileName}" }.toList() }
                expectThat(names.none { it.endsWith(".tmp") }).isTrue()
            }
            files.storage.append(hard, LogIndex(6), listOf(command(7, 2)))
        }
        val stored = use { it.stored }
        expectThat(stored.snapshot!!.header.position).isEqualTo(position)
        expectThat(stored.log.last.index).isEqualTo(LogIndex(7))
    }

    /** Guards against a process that ends when it starts on a full disk, and is started again in a loop. */
    @Test
    fun `a full disk is told from a directory that cannot be used`() {
        val write: Write = { _, _ -> throw IOException("No space left on device") }
        expectThat(open(write = write).leftOrNull()).isNotNull().and {
            get { isFull }.isTrue()
            get { isDamaged }.isFalse()
        }
        val broken: Write = { _, _ -> throw IOException("Input/output error") }
        expectThat(open(write = broken).leftOrNull()).isNotNull().get { isFull }.isFalse()
        expectThat(open().isRight()).isTrue()
    }
}
