/*
 * Tells whether the end of a stream is the end of its run. A target closes the stream of a run that it was asked to
 * stop without an end mark. A stream without a length and without chunks has no end mark, so that its end proves
 * nothing as long as a request may have stopped its run.
 */
package fulmarshunt.caller.relay

import arrow.core.Either
import fulmarshunt.target.fleet.Placement

/** What is known of the stop of a run at its target. */
internal sealed interface StopState {
    /** No request to stop the run has been sent. */
    data object NotRequested : StopState

    /** Each request was refused, because another call for the run was in progress. */
    data object Refused : StopState

    /** A request may have stopped the run, or may still stop it. */
    data object Unclear : StopState

    /** The run has stopped and can continue from [handle]. */
    data class Stopped(
        val handle: String,
        /** Where the complete memory of the run was copied, or null if it is at its target only. */
        val copiedTo: Placement?,
    ) : StopState {
        override fun toString(): String = "Stopped(copiedTo=${copiedTo?.target?.id})"
    }

    /** The run had ended before a request could stop it. */
    data object RunEnded : StopState
}

/** The requests to stop a run at one target, and their answers. */
internal data class StopRecord(
    /** The number of requests without an answer. */
    private val pending: Int = 0,
    /** Whether an answer was lost, or did not tell whether the run has stopped. */
    private val hasUnclearAnswer: Boolean = false,
    private val isRefused: Boolean = false,
    private val hasRunEnded: Boolean = false,
    private val stopped: StopState.Stopped? = null,
) {
    val state: StopState
        get() = when {
            stopped != null -> stopped
            hasRunEnded -> StopState.RunEnded
            isPending || hasUnclearAnswer -> StopState.Unclear
            isRefused -> StopState.Refused
            else -> StopState.NotRequested
        }

    /** Whether a request may still take effect. */
    val isPending: Boolean get() = pending > 0

    /** Returns the record after another request was sent. */
    fun sent(): StopRecord = copy(pending = pending + 1)

    /** Returns the record after [answer] to a request to stop the run and to copy it to [destination]. */
    fun answered(answer: Either<MoveFailure, Moved>, destination: Placement): StopRecord {
        val rest = copy(pending = pending - 1)
        return answer.fold(
            { failure ->
                when (failure) {
                    is MoveFailure.Unreachable -> rest
                    MoveFailure.InProgress -> rest.copy(isRefused = true)
                    // After an unclear answer, the run may be missing because it was stopped.
                    MoveFailure.NoSuchRun ->
                        if (rest.isPending || hasUnclearAnswer) rest else rest.copy(hasRunEnded = true)
                    is MoveFailure.Stopped ->
                        rest.copy(stopped = stopped ?: StopState.Stopped(failure.handle, copiedTo = null))
                    is MoveFailure.NoResponse, is MoveFailure.Rejected -> rest.copy(hasUnclearAnswer = true)
                }
            },
            { rest.copy(stopped = StopState.Stopped(it.handle, destination)) },
        )
    }
}

/** What the end of a stream says about its run. */
internal enum class StreamEnd {
    /** The run has produced its last event. */
    COMPLETE,

    /** The run has stopped and can continue. */
    STOPPED,

    /** The run may have stopped; its target has to be asked. */
    UNCLEAR,

    /** The stream broke off for another reason. */
    LOST,
}

/**
 * Returns what the end of a stream says.
 *
 * @param isWhole whether the stream ended with an end mark, or without one in order and after a whole event.
 * @param hasEndMark whether the framing of the stream shows its end.
 */
internal fun streamEndOf(isWhole: Boolean, hasEndMark: Boolean, stop: StopState): StreamEnd = when {
    isWhole && hasEndMark -> StreamEnd.COMPLETE
    stop is StopState.Stopped -> StreamEnd.STOPPED
    stop == StopState.Unclear || stop == StopState.Refused -> StreamEnd.UNCLEAR
    isWhole -> StreamEnd.COMPLETE
    else -> StreamEnd.LOST
}
