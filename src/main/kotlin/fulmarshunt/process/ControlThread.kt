/*
 * The single thread that owns the control state of a process. State confined to it needs no locks; traffic code on
 * other threads makes changes with [ControlThread.run] and reads immutable snapshots. Code that runs on the control
 * thread must be short and must neither block nor perform input or output.
 */
package fulmarshunt.process

import fulmarshunt.Clock
import fulmarshunt.monotonicClock
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExecutorCoroutineDispatcher
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.apache.logging.log4j.LogManager
import java.util.concurrent.ScheduledThreadPoolExecutor
import kotlin.coroutines.CoroutineContext

/** A periodic run that is later than this is logged, because followers elect another leader after such a pause. */
private const val LATE_MS = 500L

/** Runs blocks one after another on a single thread named `control-state`. */
public class ControlThread internal constructor(private val dispatcher: ExecutorCoroutineDispatcher) : AutoCloseable {
    private val log = LogManager.getLogger(ControlThread::class.java)
    private val clock: Clock = monotonicClock()

    /** The scope of coroutines that resume on the control thread. */
    public val scope: CoroutineScope = CoroutineScope(SupervisorJob() + dispatcher)

    /** The context of coroutines that resume on the control thread. */
    public val dispatch: CoroutineContext get() = dispatcher

    /** Runs [block] on the control thread and returns its result. */
    public suspend fun <T> run(block: () -> T): T = withContext(dispatcher) { block() }

    /**
     * Runs [block] on the control thread every [periodMs] until the returned job is cancelled. An exception is logged
     * and ends only the run in which it occurs.
     */
    public fun every(periodMs: Long, block: suspend () -> Unit): Job = scope.launch {
        while (true) {
            val dueAtMs = clock.nowMs() + periodMs
            delay(periodMs)
            val lateMs = clock.nowMs() - dueAtMs
            if (lateMs >= LATE_MS) log.warn("control thread late periodMs={} lateMs={}", periodMs, lateMs)
            guardRound({ log.error("periodic work failed periodMs={}", periodMs, it) }, block)
        }
    }

    /** Cancels the coroutines in [scope] and ends the thread. */
    override fun close() {
        scope.cancel()
        dispatcher.close()
    }
}

/** Starts a control thread as a daemon, so that it does not keep the process alive. */
public fun startControlThread(): ControlThread {
    // Delays end on this thread; with an executor that cannot schedule, another thread would wake for each of them.
    val executor = ScheduledThreadPoolExecutor(1) { task ->
        Thread(task, "control-state").apply { isDaemon = true }
    }
    executor.removeOnCancelPolicy = true
    executor.executeExistingDelayedTasksAfterShutdownPolicy = false
    return ControlThread(executor.asCoroutineDispatcher())
}
