/*
 * How a run whose target leaves goes on elsewhere.
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
        migrate = MigrationState.NONE,
    )

    /** Guards against moves that nobody needs. */
    @Test
    fun `a run stays where its target stays`() {
        expectThat(nextTransfer(leaving.copy(isSourceLeaving = false))).isEqualTo(TransferStep.NONE)
    }

    /** Guards against a young run that is lost because its copy arrives a moment after the notice. */
    @Test
    fun `a refused copy is asked for again before the run is moved`() {
        expectThat(nextTransfer(leaving)).isEqualTo(TransferStep.CONTINUE_FROM_COPY)
        val refused = leaving.copy(copyRefusals = 1, sinceRefusalMs = COPY_RETRY_MS - 1)
        expectThat(nextTransfer(refused)).isEqualTo(TransferStep.NONE)
        expectThat(nextTransfer(refused.copy(sinceRefusalMs = COPY_RETRY_MS)))
            .isEqualTo(TransferStep.CONTINUE_FROM_COPY)
        expectThat(nextTransfer(refused.copy(copyRefusals = 3))).isEqualTo(TransferStep.START_MOVE)
    }

    /** Guards against a run without a copy that ends with its target. */
    @Test
    fun `a run without a copy is moved`() {
        val bare = leaving.copy(hasUsableCopy = false)
        expectThat(nextTransfer(bare)).isEqualTo(TransferStep.START_MOVE)
        expectThat(nextTransfer(bare.copy(migrate = MigrationState.COPYING))).isEqualTo(TransferStep.NONE)
        expectThat(nextTransfer(bare.copy(migrate = MigrationState.COPIED))).isEqualTo(TransferStep.FINISH_MOVE)
        expectThat(nextTransfer(bare.copy(migrate = MigrationState.GIVEN_UP))).isEqualTo(TransferStep.NONE)
        expectThat(nextTransfer(bare.copy(canMigrate = false))).isEqualTo(TransferStep.NONE)
    }
}
