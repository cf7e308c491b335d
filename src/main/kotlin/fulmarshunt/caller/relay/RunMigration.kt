/*
 * The migration of one run: where its memory is copied while it runs, and how far that has got. A destination without
 * room refuses the first copy; the run is then copied to another one, because it would be lost with its target.
 */
package fulmarshunt.caller.relay

import arrow.core.Either
import fulmarshunt.Address
import fulmarshunt.TargetId
import fulmarshunt.target.fleet.Placement
import fulmarshunt.target.fleet.UseOutcome
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager

/**
 * A run is stopped for its last copy once a copy takes less than this, so that its caller notices no pause. Copies from
 * one target are queued, and a leaving target has many to make.
 */
private const val QUICK_COPY_MS = 100L

/** The maximum number of copies. If none is quick, the target may end first; the run continues from what was copied. */
private const val MAX_COPIES = 20

/** The destinations that are asked for room before a run is left to its target; each costs a call to the target. */
private const val MAX_REFUSALS = 4

/** The migration of the run of [job] from its current target. Confined to the traffic thread. */
internal class RunMigration(
    private val job: RelayJob,
    private val dependencies: StreamDependencies,
    private val current: () -> Run,
) {
    private val log = LogManager.getLogger(RunMigration::class.java)
    private val refusedBy = mutableSetOf<TargetId>()

    /** Copies the run to [destination] while it runs. */
    private var copying: Job? = null

    /** The handle of the copy at [destination], if there is one; a run whose target is lost continues from it. */
    private var handle: String? = null

    var state: MigrationState = MigrationState.NONE
        private set

    var destination: Placement? = null
        private set

    /** Chooses a destination and begins to copy the run there. */
    suspend fun start(scope: CoroutineScope) {
        val source = current()
        val tokens = (job.request.metadata.generation?.promptTokens ?: 0) + job.expectedOutputTokens
        val placement = dependencies.placements.placeForMigration(source.placement, tokens, refusedBy.toSet())
        if (placement == null) {
            state = MigrationState.GIVEN_UP
            log.warn(
                "move refused request={} target={} refusedBy={} reason=no other target",
                job.id,
                source.placement.target.id,
                refusedBy,
            )
            return
        }
        destination = placement
        state = MigrationState.COPYING
        copying = scope.launch {
            val result = copyWhileRunning(source, placement.target.record.address)
            if (current() !== source) return@launch
            val from = source.placement.target.id
            log.info("run copied request={} from={} to={} result={}", job.id, from, placement.target.id, result)
            result.fold({ end(it, placement) }, { state = MigrationState.COPIED })
            source.response.connection.wake()
        }
    }

    /** Ends the copying because the run is about to be stopped; a target makes one copy at a time. */
    fun interrupt() {
        if (state == MigrationState.COPYING) state = MigrationState.NONE
        copying?.cancel()
    }

    /** Returns the handle of the copy and forgets it, because it can be used once. */
    fun takeHandleOrNull(): String? = handle.also { handle = null }

    /** Leaves the run to its target. A copy is kept, because the run can continue from it if its target is lost. */
    fun abandon(reason: String) {
        state = MigrationState.GIVEN_UP
        log.warn(
            "move failed request={} from={} copied={} reason={}",
            job.id,
            current().placement.target.id,
            handle != null,
            reason,
        )
        if (handle == null) release()
        dependencies.meters.continued("move", false)
    }

    /** Begins anew, because the run has continued at [placement]. */
    fun reset(placement: Placement, isSameTarget: Boolean) {
        // A migration that has failed is not started again at the same target.
        if (!isSameTarget || state != MigrationState.GIVEN_UP) state = MigrationState.NONE
        if (!isSameTarget) refusedBy.clear()
        if (destination === placement) destination = null
        release()
    }

    private fun end(failure: MoveFailure, placement: Placement) {
        val isRefused = failure is MoveFailure.Rejected && handle == null
        if (!isRefused || refusedBy.size >= MAX_REFUSALS - 1) return abandon("copy failed: $failure")
        refusedBy += placement.target.id
        release()
        state = MigrationState.NONE
    }

    private fun release() {
        destination?.let { dependencies.placements.end(it, UseOutcome.ABANDONED) }
        destination = null
        handle = null
    }

    /** Copies the run repeatedly while it runs, until little remains to be copied; the first copy takes longest. */
    private suspend fun copyWhileRunning(source: Run, destination: Address): Either<MoveFailure, Moved> {
        var copied = copyOnce(source, destination)
        var copies = 1
        while (copied.isRight() && copies < MAX_COPIES) {
            val startedAtMs = dependencies.clock.nowMs()
            copied = copyOnce(source, destination)
            copies += 1
            if (dependencies.clock.nowMs() - startedAtMs < QUICK_COPY_MS) break
        }
        return copied
    }

    /** Copies the current state of the run. The copy is not used if the run has continued elsewhere meanwhile. */
    private suspend fun copyOnce(source: Run, destination: Address): Either<MoveFailure, Moved> =
        dependencies.adapter.migrate(source.response.target.record.address, job.id, destination, false)
            .onRight { if (current() === source) handle = it.handle }
}
