/*
 * The cost of engines that differ in one respect only.
 */
package fulmarshunt.target.fleet

import fulmarshunt.FailureDomainId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import kotlin.random.Random

class TargetChoiceTest {
    private val requirements = TargetRequirements(engineProfile, 1_000, 1_500, here)

    private fun chosen(vararg candidates: Candidate): String? =
        chooseOrNull(candidates.toList(), requirements) { 0.5 }?.target?.id?.value

    private fun engine(id: String, use: TargetUse, domain: FailureDomainId = here, slowness: Double = 1.0) =
        Candidate(known(record(id, domain = domain)), use, 0.0, slowness = slowness)

    /** Guards against a cost that loses the filled share of the memory, which is less than one. */
    @Test
    fun `an engine with a filled memory costs more`() {
        expectThat(chosen(engine("free", TargetUse(1, 1_000, 0)), engine("filled", TargetUse(1, 7_000, 0))))
            .isEqualTo("free")
    }

    /** Guards against an engine that is chosen for its speed although its prompts are queued. */
    @Test
    fun `a slow engine is chosen once the fast one has more to do`() {
        val slow = engine("slow", TargetUse(0, 0, 0), slowness = 2.0)
        expectThat(chosen(slow, engine("fast", TargetUse(0, 0, 0)))).isEqualTo("fast")
        expectThat(chosen(slow, engine("fast", TargetUse(2, 3_000, 3_000)))).isEqualTo("slow")
    }

    /** Guards against plain requests of many entry VMs that leave their failure domain although it has free places. */
    @Test
    fun `few plain requests leave a failure domain that is idle`() {
        val elsewhere = listOf("b", "c").map { FailureDomainId(it) }
        val candidates = (listOf(here) + elsewhere).map {
            Candidate(known(record("t-$it", service = plain, domain = it)), TargetUse.NONE, 0.0)
        }
        val requirements = TargetRequirements(null, 0, 0, here, entryVms = 73)
        val random = Random(1)
        val remote = (1..1_000).count {
            chooseOrNull(candidates, requirements, random::nextDouble)?.target?.record?.domain != here
        }
        expectThat(remote).isLessThan(300)
    }
}
