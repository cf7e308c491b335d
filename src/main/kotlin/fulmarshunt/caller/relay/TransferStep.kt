/*
 * Decides how a run whose target leaves goes on elsewhere. A copy of its memory costs the caller the shortest pause; a
 * young run's copy may not have arrived yet, so that a refusal is not the last word.
 */
package fulmarshunt.caller.relay

/** How long a run waits before it asks again for a copy that was refused; memory is copied several times a second. */
internal const val COPY_RETRY_MS: Long = 200L

/** Refusals after which a run no longer waits for its copy: targets leave as soon as 1.4 s after their notice. */
private const val MAX_COPY_REFUSALS = 3

/** How far the explicit move of a run has come. */
internal enum class MigrationState { NONE, COPYING, COPIED, GIVEN_UP }

/** What is known of a run and its target. */
internal data class TransferState(
    val isSourceLeaving: Boolean,
    /** Whether a copy should exist at a target that takes work. */
    val hasUsableCopy: Boolean,
    /** How often the target of the copy has said that it has none. */
    val copyRefusals: Int,
    val sinceRefusalMs: Long,
    val canMigrate: Boolean,
    val migrate: MigrationState,
)

/** What to do next for a run. */
internal enum class TransferStep { NONE, CONTINUE_FROM_COPY, START_MOVE, FINISH_MOVE }

/** Decides the next step of a transfer. */
internal fun nextTransfer(facts: TransferState): TransferStep {
    if (!facts.isSourceLeaving) return TransferStep.NONE
    if (facts.hasUsableCopy && facts.copyRefusals < MAX_COPY_REFUSALS) {
        val isDue = facts.copyRefusals == 0 || facts.sinceRefusalMs >= COPY_RETRY_MS
        return if (isDue) TransferStep.CONTINUE_FROM_COPY else TransferStep.NONE
    }
    return when {
        facts.canMigrate && facts.migrate == MigrationState.NONE -> TransferStep.START_MOVE
        facts.canMigrate && facts.migrate == MigrationState.COPIED -> TransferStep.FINISH_MOVE
        else -> TransferStep.NONE
    }
}
