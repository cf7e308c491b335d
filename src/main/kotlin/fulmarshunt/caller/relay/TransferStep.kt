/*
 * Decides how a run whose target leaves continues elsewhere. Continuing from a copy of its memory causes the shortest
 * pause. The copy of a run that has just started may not have arrived yet, so that a refused copy is tried again.
 */
package fulmarshunt.caller.relay

/** The delay before a refused copy is tried again; targets copy memory several times a second. */
internal const val COPY_RETRY_MS: Long = 200L

/** Refusals after which a run no longer waits for its copy: targets may leave as soon as 1.4 s after their notice. */
private const val MAX_COPY_REFUSALS = 3

/** The progress of the explicit migration of a run. */
internal enum class MigrationState { NONE, COPYING, COPIED, GIVEN_UP }

/** The state of a run and its target that decides about a transfer. */
internal data class TransferState(
    val isSourceLeaving: Boolean,
    /** Whether a copy should exist at a target that accepts work. */
    val hasUsableCopy: Boolean,
    /** How often the target of the copy has refused because it has no copy. */
    val copyRefusals: Int,
    val sinceRefusalMs: Long,
    val canMigrate: Boolean,
    val migration: MigrationState,
)

/** The next action for a run. */
internal enum class TransferStep { NONE, CONTINUE_FROM_COPY, START_MOVE, FINISH_MOVE }

/** Returns the next step of the transfer of a run. */
internal fun nextTransferStep(state: TransferState): TransferStep {
    if (!state.isSourceLeaving) return TransferStep.NONE
    if (state.hasUsableCopy && state.copyRefusals < MAX_COPY_REFUSALS) {
        val isDue = state.copyRefusals == 0 || state.sinceRefusalMs >= COPY_RETRY_MS
        return if (isDue) TransferStep.CONTINUE_FROM_COPY else TransferStep.NONE
    }
    return when {
        state.canMigrate && state.migration == MigrationState.NONE -> TransferStep.START_MOVE
        state.canMigrate && state.migration == MigrationState.COPIED -> TransferStep.FINISH_MOVE
        else -> TransferStep.NONE
    }
}
