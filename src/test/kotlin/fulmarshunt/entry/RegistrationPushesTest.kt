/*
 * The number of pushes during the registration of many entry VMs.
 */
package fulmarshunt.entry

import fulmarshunt.Address
import fulmarshunt.FailureDomainId
import fulmarshunt.LogIndex
import fulmarshunt.VmId
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.linksOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isLessThanOrEqualTo
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.measureTime

private const val VM_COUNT = 60

class RegistrationPushesTest {
    /** Guards against a push to every VM for each VM that registers, which is quadratic when many start together. */
    @Test
    fun `a VM gets at most one push in 100 ms while others register`(): Unit = runBlocking {
        ControlCluster(1).use { cluster ->
            cluster.elect(0)
            cluster.awaitLeases()
            val pushes = AtomicInteger()
            val handlers =
                LinkHandlers().with(stateChannel) { _, push ->
                    pushes.incrementAndGet()
                    StatePushReply(push.changes.last().index)
                }
            val links = List(VM_COUNT) { linksOf("vm-$it", "secret", handlers) }
            // The calls below are made once each, and a link that is slow to open would fail them.
            withTimeout(30_000) { links.forEach { while (it.connect(cluster.addresses[0]).isLeft()) delay(20) } }
            val elapsed = measureTime {
                links.forEachIndexed { number, own ->
                    val vm = EntryVm(VmId("vm-$number"), Address("127.0.0.1", 1), FailureDomainId("suva"))
                    launch {
                        delay(5L * number)
                        val reply = own.call(cluster.addresses[0], leaseChannel, RenewLease(vm, LogIndex(0)), 5_000)
                        expectThat(reply.getOrNull()).isA<LeaseGranted>()
                    }
                }
                withTimeout(10_000) {
                    while (cluster.voters[0].machine.state.value.shared.entryVms.size < VM_COUNT) delay(10)
                }
                delay(300)
            }
            println("$VM_COUNT registrations: ${pushes.get()} pushes in $elapsed")
            expectThat(pushes.get()).isLessThanOrEqualTo((elapsed.inWholeMilliseconds.toInt() / 100 + 1) * VM_COUNT)
            links.forEach { it.close() }
        }
    }
}
