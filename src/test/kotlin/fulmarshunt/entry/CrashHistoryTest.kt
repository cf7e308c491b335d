/*
 * The requests that are quarantined after crashes of targets.
 */
package fulmarshunt.entry

import fulmarshunt.Fingerprint
import fulmarshunt.Incarnation
import fulmarshunt.TargetId
import fulmarshunt.target.TargetInstance
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class CrashHistoryTest {
    private var history = CrashHistory()
    private var nowMs = 1_000L

    private fun fingerprints(text: String) = text.map { Fingerprint(it.toString()) }.toSet()

    private fun crash(target: String, running: String, incarnation: Long = 1, counted: String = ""): List<String> {
        val instance = TargetInstance(TargetId(target), Incarnation(incarnation))
        val (next, poison) = history.record(instance, fingerprints(running), nowMs, fingerprints(counted))
        history = next
        return poison.map { it.value }
    }

    /** Guards against a poison request that is not found, and against quarantine of a request that ran with it once. */
    @Test
    fun `a request at two crashes is quarantined and co-running requests are not`() {
        expectThat(crash("t1", "pab")).isEqualTo(emptyList())
        expectThat(crash("t2", "pcd")).isEqualTo(listOf("p"))
        // The crashes are explained, so they do not count against the other requests that were running.
        expectThat(crash("t3", "a")).isEqualTo(emptyList())
        expectThat(crash("t4", "c")).isEqualTo(emptyList())
    }

    /** Guards against quarantine of a request that always ran with the poison request. */
    @Test
    fun `requests that ran together at two crashes are distinguished by a third one`() {
        crash("t1", "pa")
        expectThat(crash("t2", "pa")).isEqualTo(emptyList())
        expectThat(crash("t3", "p")).isEqualTo(listOf("p"))
        expectThat(crash("t4", "a")).isEqualTo(emptyList())
    }

    /** Guards against quarantine of a request that ran on several targets of a failure domain when it failed. */
    @Test
    fun `crashes of targets that ran a request at the same time count once`() {
        crash("t1", "pa")
        expectThat(crash("t2", "pb", counted = "p")).isEqualTo(emptyList())
        expectThat(crash("t3", "pc", counted = "p")).isEqualTo(emptyList())
        expectThat(crash("t4", "p")).isEqualTo(listOf("p"))
    }

    /** Guards against a poison request that is missed because a co-running request was already counted. */
    @Test
    fun `a crash that is already counted for one request counts for another`() {
        crash("t1", "pa")
        expectThat(crash("t2", "pab", counted = "a")).isEqualTo(emptyList())
        expectThat(crash("t3", "p")).isEqualTo(listOf("p"))
    }

    /** Guards against counting a crash twice because it is reported twice. */
    @Test
    fun `a repeated report and an expired crash do not count`() {
        crash("t1", "p")
        expectThat(crash("t1", "p")).isEqualTo(emptyList())
        nowMs += CRASH_RETENTION_MS
        history = history.expire(nowMs)
        expectThat(crash("t1", "p", incarnation = 2)).isEqualTo(emptyList())
        expectThat(crash("t1", "p", incarnation = 3)).isEqualTo(listOf("p"))
    }
}
