/*
 * How a run whose target leaves continues elsewhere.
 */
package fulmarshunt.caller.relay

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class TransferStepTest {
    private val leaving = TransferState(
        isSourceLeaving = true,
        hasUsableCopy = true,
        copyRefusals = 0,
        sinceRefusalMs = 0,
        canMigrate = true,
        migration = MigrationState.NONE,
    )

    /** Guards against unnecessary transfers. */
    @Test
    fun `a run stays at a target that stays`() {
        expectThat(nextTransferStep(leaving.copy(isSourceLeaving = false))).isEqualTo(TransferStep.NONE)
    }

    /** Guards against a new run that is lost because its copy arrives shortly after the notice of its target. */
    @Test
    fun `a refused copy is tried again before the run is migrated`() {
        expectThat(nextTransferStep(leaving)).isEqualTo(TransferStep.CONTINUE_FROM_COPY)
        val refused = leaving.copy(copyRefusals = 1, sinceRefusalMs = COPY_RETRY_MS - 1)
        expectThat(nextTransferStep(refused)).isEqualTo(TransferStep.NONE)
        expectThat(nextTransferStep(refused.copy(sinceRefusalMs = COPY_RETRY_MS)))
            .isEqualTo(TransferStep.CONTINUE_FROM_COPY)
        expectThat(nextTransferStep(refused.copy(copyRefusals = 3))).isEqualTo(TransferStep.START_MOVE)
    }

    /** Guards against a run without a copy that ends with its target. */
    @Test
    fun `a run without a copy is migrated`() {
        val withoutCopy = leaving.copy(hasUsableCopy = false)
        expectThat(nextTransferStep(withoutCopy)).isEqualTo(TransferStep.START_MOVE)
        expectThat(nextTransferStep(withoutCopy.copy(migration = MigrationState.COPYING))).isEqualTo(TransferStep.NONE)
        expectThat(nextTransferStep(withoutCopy.copy(migration = MigrationState.COPIED)))
            .isEqualTo(TransferStep.FINISH_MOVE)
        expectThat(nextTransferStep(withoutCopy.copy(migration = MigrationState.GIVEN_UP))).isEqualTo(TransferStep.NONE)
        expectThat(nextTransferStep(withoutCopy.copy(canMigrate = false))).isEqualTo(TransferStep.NONE)
    }
}
