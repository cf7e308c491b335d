/*
 * Which requests are blamed for the deaths of targets.
 */
package fulmarshunt.entry

import fulmarshunt.Fingerprint
import fulmarshunt.Incarnation
import fulmarshunt.TargetId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class CrashHistoryTest {
    private var counts = CrashHistory()
    private var nowMs = 1_000L

    private fun fingerprints(text: String) = text.map { Fingerprint(it.toString()) }.toSet()

    private fun die(target: String, running: String, incarnation: Long = 1, counted: String = ""): List<String> {
        val life = TargetInstance(TargetId(target), Incarnation(incarnation))
        val (next, poison) = counts.record(life, fingerprints(running), nowMs, fingerprints(counted))
        counts = next
        return poison.map { it.value }
    }

    /** Guards against a poison request that is never found, and against blame for who ran beside it once. */
    @Test
    fun `a request at two deaths is quarantined and its fellows are not`() {
        expectThat(die("t1", "pab")).isEqualTo(emptyList())
        expectThat(die("t2", "pcd")).isEqualTo(listOf("p"))
        // The deaths are explained, so neither counts against those who were present.
        expectThat(die("t3", "a")).isEqualTo(emptyList())
        expectThat(die("t4", "c")).isEqualTo(emptyList())
    }

    /** Guards against blame for a request that only ran wherever the poison request ran. */
    @Test
    fun `requests that ran together at both deaths are told apart by a third one`() {
        die("t1", "pa")
        expectThat(die("t2", "pa")).isEqualTo(emptyList())
        expectThat(die("t3", "p")).isEqualTo(listOf("p"))
        expectThat(die("t4", "a")).isEqualTo(emptyList())
    }

    /** Guards against blame for a request that ran on several targets of a failure domain when it failed. */
    @Test
    fun `deaths of targets that held a request at the same time count once`() {
        die("t1", "pa")
        expectThat(die("t2", "pb", counted = "p")).isEqualTo(emptyList())
        expectThat(die("t3", "pc", counted = "p")).isEqualTo(emptyList())
        expectThat(die("t4", "p")).isEqualTo(listOf("p"))
    }

    /** Guards against a poison request that escapes because another one beside it was counted before. */
    @Test
    fun `an earlier count of one request does not excuse another`() {
        die("t1", "pa")
        expectThat(die("t2", "pab", counted = "a")).isEqualTo(emptyList())
        expectThat(die("t3", "p")).isEqualTo(listOf("p"))
    }

    /** Guards against one death that is reported twice being counted twice. */
    @Test
    fun `a repeated report and a death long ago do not count`() {
        die("t1", "p")
        expectThat(die("t1", "p")).isEqualTo(emptyList())
        nowMs += SUSPICION_MS
        counts = counts.expire(nowMs)
        expectThat(die("t1", "p", incarnation = 2)).isEqualTo(emptyList())
        expectThat(die("t1", "p", incarnation = 3)).isEqualTo(listOf("p"))
    }
}
