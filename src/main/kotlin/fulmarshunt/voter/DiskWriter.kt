/*
 * Writing to disk on a thread other than the control thread. Tasks run in order. Records that are queued together are
 * written and synced as a group, and messages queued behind them are sent once the group is on disk.
 */
package fulmarshunt.voter

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch

/** A group commit takes no further tasks once its entries have this size. */
private const val GROUP_COMMIT_BYTES = 4 * 1_024 * 1_024

/** Writes to the storage of one voter. The callbacks are called on the writing thread. */
internal class DiskWriter(
    private val storage: VoterStorage,
    private val send: (Send) -> Unit,
    private val onStored: (Stored) -> Unit,
    private val onFailure: (Throwable) -> Unit,
) {
    private val tasks = Channel<Action>(Channel.UNLIMITED)

    /** Runs tasks until [finish] is called; after a failure, nothing more is written or sent. */
    fun start(scope: CoroutineScope): Job = scope.launch(Dispatchers.IO) {
        try {
            for (task in tasks) runGroup(task)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Throwable) {
            tasks.cancel()
            onFailure(e)
        } finally {
            storage.close()
        }
    }

    /** Queues a [Store], a [StoreSnapshot], or a [Send] that must wait for earlier ones. */
    fun submit(task: Action) {
        tasks.trySend(task)
    }

    /** Ends the writer after the queued tasks. */
    fun finish() {
        tasks.close()
    }

    private fun runGroup(first: Action) {
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
                storage.replace(task)
                val last = task.entries.lastOrNull()?.index ?: task.base.index
                onStored(Stored(task.hard.term, last))
                task = null
            }
        }
    }

    private fun commit(group: List<Action>) {
        val stores = group.filterIsInstance<Store>()
        if (stores.isNotEmpty()) {
            storage.append(stores.last().hard, stores.last().committed, stores.flatMap { it.entries })
            onStored(Stored(stores.last().term, stores.last().lastIndex))
        }
        group.filterIsInstance<Send>().forEach(send)
    }
}
