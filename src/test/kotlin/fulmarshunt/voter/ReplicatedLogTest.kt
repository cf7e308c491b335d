/*
 * Voters on loopback links: commit, loss of the leader, a wiped disk, restart.
 */
package fulmarshunt.voter

import fulmarshunt.VmId
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.nio.file.Path

class ReplicatedLogTest {
    @TempDir
    lateinit var directory: Path

    private val addresses = freeAddresses(3)
    private val vms = addresses.keys.toList()

    private suspend fun start(vm: VmId, folder: String = vm.value) =
        startVoter(vm, addresses, directory.resolve(folder), snapshotEveryEntries = 50)

    /** Guards against committed commands that are lost or applied in another order when the leader stops. */
    @Test
    fun `commands survive the loss of the leader`(): Unit = runBlocking {
        val voters = vms.map { start(it) }.toMutableList()
        repeat(120) { commit(voters, "first $it") }
        val former = leaderOf(voters)
        former.close()
        voters -= former
        repeat(20) { commit(voters, "second $it") }
        eventually("equal states") { voters.distinctBy { it.machine.hash to it.machine.count }.size == 1 }
        expectThat(voters.first().machine.count).isEqualTo(140)
        voters.forEach { it.close() }
    }
}
