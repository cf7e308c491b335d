/*
 * Discovery of control VMs. Each control VM introduces itself to the seeds and to every control VM that it knows, and
 * receives the control VMs that the other one knows. Only the seeds are configured.
 */
package fulmarshunt.voter

import fulmarshunt.Address
import fulmarshunt.Clock
import fulmarshunt.VmId
import fulmarshunt.VoterId
import fulmarshunt.link.Channel
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.Links
import fulmarshunt.process.ControlThread
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import org.apache.logging.log4j.LogManager

/** How often a control VM introduces itself before and after it belongs to a cluster. */
private const val FORMING_PERIOD_MS = 250L
private const val FORMED_PERIOD_MS = 1_000L
private const val INTRODUCTION_TIMEOUT_MS = 700L

/** Control VMs that have sent nothing for this long are removed; a paused VM resumes sooner. */
private const val REMOVE_AFTER_MS = 60_000L

/** How long no new control VM may appear before a cluster forms; all of them start within 0.3 s of each other. */
private const val SETTLING_MS = 1_000L

/** What a control VM states about itself in an introduction. */
@Serializable
public data class ControlVm(
    public val vm: VmId,
    public val voter: VoterId,
    /** The address at which it accepts links. */
    public val linkAddress: Address,
)

@Serializable
internal data class Introduction(val self: ControlVm, val known: List<ControlVm>)

private val introductionChannel: Channel<Introduction, Introduction> =
    Channel("introduce", Introduction.serializer(), Introduction.serializer())

/** The initial voters of a new cluster; only the voter on [formingVm] forms it. */
public data class InitialVoters(public val members: Map<VmId, Address>, public val formingVm: VmId)

/** The control VMs that this control VM knows. The state is confined to the control thread. */
public class ControlDirectory internal constructor(
    private val self: ControlVm,
    private val control: ControlThread,
    private val clock: Clock,
    /** Returns the link addresses of the seeds, which may change when the settings are reloaded. */
    private val seeds: () -> List<Address>,
) {
    private val log = LogManager.getLogger(ControlDirectory::class.java)
    private val lastSeenAtMs = mutableMapOf<ControlVm, Long>()
    private var lastAdditionAtMs = clock.nowMs()
    private val knownState = MutableStateFlow(listOf(self))

    /** The known control VMs, this one included. */
    public val known: StateFlow<List<ControlVm>> = knownState.asStateFlow()

    /** Returns [base] with the handler for introductions. */
    public fun handlers(base: LinkHandlers): LinkHandlers = base.with(introductionChannel) { _, introduction ->
        control.run {
            mergeKnown(introduction)
            Introduction(self, knownState.value)
        }
    }

    /** Introduces this VM periodically until the control thread ends. */
    public fun start(links: Links, isFormed: () -> Boolean) {
        control.scope.launch {
            while (true) {
                introduceToAll(links)
                delay(if (isFormed()) FORMED_PERIOD_MS else FORMING_PERIOD_MS)
            }
        }
    }

    /** Returns this control VM and the ones that were seen within [periodMs]. */
    internal fun seenWithin(periodMs: Long): List<ControlVm> {
        val sinceMs = clock.nowMs() - periodMs
        return lastSeenAtMs.filterValues { it >= sinceMs }.keys.toList() + self
    }

    /** Returns the voters that can form a cluster, or null while new VMs appear or a seed is unknown. */
    internal fun initialVotersOrNull(): InitialVoters? {
        if (clock.nowMs() - lastAdditionAtMs < SETTLING_MS) return null
        val vms = knownState.value
        val seedVms = seeds().map { seed -> vms.find { it.linkAddress == seed } ?: return null }
        val formingVm = seedVms.minByOrNull { it.linkAddress.toString() } ?: return null
        return InitialVoters(vms.associate { it.vm to it.linkAddress }, formingVm.vm)
    }

    private fun introduceToAll(links: Links) {
        val addresses = (seeds() + knownState.value.map { it.linkAddress }).toSet() - self.linkAddress
        val introduction = Introduction(self, knownState.value)
        for (address in addresses) {
            control.scope.launch {
                links
                    .call(address, introductionChannel, introduction, INTRODUCTION_TIMEOUT_MS)
                    .onRight { mergeKnown(it) }
                    .onLeft { log.debug("introduction to={} failed reason={}", address, it.reason) }
            }
        }
    }

    private fun mergeKnown(introduction: Introduction) {
        val nowMs = clock.nowMs()
        if (introduction.self != self) recordSeen(introduction.self, nowMs)
        for (vm in introduction.known) {
            // That another VM knows this one does not show that it runs, so that it expires early unless it replies.
            if (vm != self && vm !in lastSeenAtMs && !isSuperseded(vm)) addKnown(vm, nowMs - REMOVE_AFTER_MS / 2)
        }
        lastSeenAtMs.entries.removeIf { nowMs - it.value > REMOVE_AFTER_MS }
        publish()
    }

    /** Returns whether the address of [vm] is known to belong to another voter. */
    private fun isSuperseded(vm: ControlVm): Boolean =
        vm.linkAddress == self.linkAddress || lastSeenAtMs.keys.any { it.linkAddress == vm.linkAddress }

    private fun recordSeen(vm: ControlVm, nowMs: Long) {
        lastSeenAtMs.keys.removeIf { it.linkAddress == vm.linkAddress && it != vm }
        if (vm in lastSeenAtMs) lastSeenAtMs[vm] = nowMs else addKnown(vm, nowMs)
    }

    private fun addKnown(vm: ControlVm, seenMs: Long) {
        lastSeenAtMs[vm] = seenMs
        lastAdditionAtMs = clock.nowMs()
        log.info("control-vm learned vm={} voter={} address={}", vm.vm, vm.voter, vm.linkAddress)
    }

    private fun publish() {
        val vms = (lastSeenAtMs.keys + self).sortedBy { it.linkAddress.toString() }
        if (vms != knownState.value) knownState.value = vms
    }
}

/** Returns the directory of the control VM [self]. */
public fun controlDirectoryOf(
    self: ControlVm,
    control: ControlThread,
    clock: Clock,
    seeds: () -> List<Address>,
): ControlDirectory = ControlDirectory(self, control, clock, seeds)
