/*
 * Writing to disk on a thread other than the control thread. Tasks run in order. Records that are queued together are
 * written and synced as a group, and messages queued behind them are sent once the group is on disk. A group that does
 * not fit on the disk is written again until there is room; what is queued behind it waits.
 */
package fulmarshunt.voter

import fulmarshunt.Clock
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger

/** A group commit takes no further tasks once its entries have this size. */
private const val GROUP_COMMIT_BYTES = 4 * 1_024 * 1_024

/** The pause before a write to a full disk is repeated; it doubles up to the maximum. */
private const val FULL_DISK_PAUSE_MS = 25L
private const val MAX_FULL_DISK_PAUSE_MS = 400L

/** What a [DiskWriter] reports. The functions are called on the writing thread. */
internal class DiskWriterEvents(
    val send: (Send) -> Unit,
    val onStored: (Stored) -> Unit,
    /** A write did not fit on the disk and is repeated. */
    val onFull: (IOException) -> Unit,
    /** Nothing more is written or sent. */
    val onFailure: (Throwable) -> Unit,
)

/** Writes to the storage of one voter. */
internal class DiskWriter(
    private val storage: VoterStorage,
    private val clock: Clock,
    private val events: DiskWriterEvents,
) {
    private val tasks = Channel<Action>(Channel.UNLIMITED)

    private val unwritten = AtomicInteger()

    @Volatile
    private var isFinishing = false

    @Volatile
    private var writingSinceMs: Long? = null

    /** When the write that is under way began, with all its repetitions, or null if there is none. */
    val currentWriteSinceMs: Long? get() = writingSinceMs

    /** Runs tasks until [finish] is called; after a failure, nothing more is written or sent. */
    fun start(scope: CoroutineScope): Job = scope.launch(Dispatchers.IO) {
        try {
            for (task in tasks) runGroup(task)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Throwable) {
            tasks.cancel()
            events.onFailure(e)
        } finally {
            storage.close()
        }
    }

    /** Whether everything that was submitted is written. */
    val isIdle: Boolean get() = unwritten.get() == 0

    /** Queues a [Store], a [StoreSnapshot], or a [Send] that must wait for earlier ones. */
    fun submit(task: Action) {
        if (task !is Send) unwritten.incrementAndGet()
        tasks.trySend(task)
    }

    /** Ends the writer after the queued tasks, or at once if they wait for room on the disk. */
    fun finish() {
        isFinishing = true
        tasks.close()
    }

    private suspend fun runGroup(first: Action) {
        var task: Action? = first
        while (task != null) {
            val group = mutableListOf<Action>()
            var bytes = 0
            while (task != null && task !is StoreSnapshot && bytes < GROUP_COMMIT_BYTES) {
                group += task
                if (task is Store) bytes += task.entries.sumOf { it.sizeBytes }
                task = tasks.tryReceive().getOrNull()
            }
            commit(group)
            if (task is StoreSnapshot) {
                replace(task)
                task = null
            }
        }
    }

    private suspend fun commit(group: List<Action>) {
        val stores = group.filterIsInstance<Store>()
        if (stores.isNotEmpty()) {
            val last = stores.last()
            val entries = stores.flatMap { it.entries }
            val tookMs = write { storage.append(last.hard, last.committed, entries) }
            unwritten.addAndGet(-stores.size)
            events.onStored(Stored(last.term, last.lastIndex, tookMs))
        }
        group.filterIsInstance<Send>().forEach(events.send)
    }

    private suspend fun replace(task: StoreSnapshot) {
        val tookMs = write { storage.replace(task) }
        unwritten.decrementAndGet()
        val last = task.entries.lastOrNull()?.index ?: task.base.index
        events.onStored(Stored(task.hard.term, last, tookMs))
    }

    /** Repeats [attempt] while the disk is full, and returns how long the last attempt took in milliseconds. */
    private suspend fun write(attempt: () -> Unit): Long {
        var pauseMs = FULL_DISK_PAUSE_MS
        writingSinceMs = clock.nowMs()
        while (true) {
            val startedAtMs = clock.nowMs()
            try {
                attempt()
                writingSinceMs = null
                return clock.nowMs() - startedAtMs
            } catch (e: IOException) {
                if (!e.isOutOfSpace()) throw e
                if (isFinishing) throw CancellationException("the voter stops while its disk is full")
                events.onFull(e)
            }
            delay(pauseMs)
            pauseMs = (pauseMs * 2).coerceAtMost(MAX_FULL_DISK_PAUSE_MS)
        }
    }
}
