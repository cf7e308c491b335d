/*
 * The durable state of a deployment: the latest serving configuration, the drained failure domains and the roll-outs.
 * It is held by the state machine of the replicated log, so that every change has a log index, by which entry VMs order
 * the states that they receive.
 */
package fulmarshunt.operator.serving

import fulmarshunt.ConfigurationVersion
import fulmarshunt.ContentDigest
import fulmarshunt.FailureDomainId
import fulmarshunt.LogIndex
import fulmarshunt.ServiceId
import fulmarshunt.link.linkCbor
import fulmarshunt.operator.rollout.Rollout
import fulmarshunt.operator.rollout.RolloutOrder
import fulmarshunt.operator.rollout.RolloutPhase
import fulmarshunt.operator.rollout.StartDecision
import fulmarshunt.operator.rollout.advancedOrNull
import fulmarshunt.operator.rollout.after
import fulmarshunt.operator.rollout.decisionOn
import fulmarshunt.sha256Hex
import fulmarshunt.voter.ReplicatedStateMachine
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.apache.logging.log4j.LogManager

/** A serving configuration in the bytes that the operator sent; a read returns the same bytes. */
@Serializable
public class ConfigurationDocument(public val version: ConfigurationVersion, @ByteString public val bytes: ByteArray) {
    /** The digest of [bytes], computed at the first call. */
    public val digest: ContentDigest by lazy { ContentDigest(sha256Hex(bytes)) }
}

/** A change of the durable state. */
@Serializable
public sealed interface ServingCommand {
    /** Replaces the configuration, unless the current one has the same or a higher version. */
    @Serializable
    @SerialName("c")
    public class Replace(public val document: ConfigurationDocument) : ServingCommand

    /** Drains a failure domain or restores it. */
    @Serializable
    @SerialName("d")
    public data class SetDrained(
        public val domain: FailureDomainId,
        public val isDrained: Boolean,
        /**
         * The last order for [domain] when this one was given; it has no effect if there is a later one. Null in logs
         * of older versions, whose orders always have an effect.
         */
        public val basedOn: LogIndex? = null,
    ) : ServingCommand

    /** Starts a roll-out, unless another one of the service runs or began after [basedOn]. */
    @Serializable
    @SerialName("r")
    public data class StartRollout(
        public val order: RolloutOrder,
        /** The last order for the service when this one was given, or 0 if there was none. */
        public val basedOn: LogIndex,
        /** When the order arrived, by the clock of the control VM that received it. */
        public val startedAtEpochMs: Long,
    ) : ServingCommand

    /** Changes the phase of the roll-out that the order at [orderIndex] started. */
    @Serializable
    @SerialName("p")
    public data class AdvanceRollout(
        public val service: ServiceId,
        public val orderIndex: LogIndex,
        public val phase: RolloutPhase,
    ) : ServingCommand
}

/** The durable state after the log entry at [revision]. Immutable. */
@Serializable
public data class ServingSnapshot(
    /** The index of the last log entry that changed the state; 0 before the first change. */
    public val revision: LogIndex = LogIndex(0),
    public val document: ConfigurationDocument? = null,
    public val drained: Set<FailureDomainId> = emptySet(),
    /** The index of the last order for each domain; snapshots of older versions have none. */
    public val lastOrders: Map<FailureDomainId, LogIndex> = emptyMap(),
    /** The last roll-out of each service that had one. */
    public val rollouts: Map<ServiceId, Rollout> = emptyMap(),
) {
    /** Returns the index of the last order for [domain], or 0 if there is none. */
    public fun lastOrderFor(domain: FailureDomainId): LogIndex = lastOrders[domain] ?: LogIndex(0)
}

/** Returns the state after applying [command], the log entry at [index]. */
public fun ServingSnapshot.after(index: LogIndex, command: ServingCommand): ServingSnapshot = when (command) {
    is ServingCommand.Replace -> {
        val current = document?.version
        if (current != null && command.document.version <= current) {
            this
        } else {
            copy(revision = index, document = command.document)
        }
    }
    is ServingCommand.SetDrained -> {
        val next = if (command.isDrained) drained + command.domain else drained - command.domain
        val isChange = next != drained
        val isSuperseded = command.basedOn != null && command.basedOn != lastOrderFor(command.domain)
        val orders = lastOrders + (command.domain to index)
        when {
            isChange && isSuperseded -> this
            // Snapshots of older versions do not have the orders that were in their logs.
            command.basedOn == null -> if (isChange) copy(revision = index, drained = next) else this
            isChange -> copy(revision = index, drained = next, lastOrders = orders)
            // An order that finds the domain as ordered is acknowledged, so that older ones must not take effect later.
            else -> copy(lastOrders = orders)
        }
    }
    is ServingCommand.StartRollout -> {
        val current = rollouts[command.order.service]
        if (current.decisionOn(command.order, command.basedOn) == StartDecision.START) {
            withRollout(index, current.after(index, command.order, command.startedAtEpochMs))
        } else {
            this
        }
    }
    is ServingCommand.AdvanceRollout -> {
        val current = rollouts[command.service]?.takeIf { it.orderIndex == command.orderIndex }
        current?.advancedOrNull(command.phase)?.let { withRollout(index, it) } ?: this
    }
}

private fun ServingSnapshot.withRollout(index: LogIndex, rollout: Rollout): ServingSnapshot =
    copy(revision = index, rollouts = rollouts + (rollout.order.service to rollout))

/** How a command ended, as the first byte of its result; an empty result says that it was done. */
internal object CommandResult {
    /** A later order preceded it, so that it had no effect. */
    const val SUPERSEDED: Byte = 0

    /** Another roll-out of the service runs. */
    const val IN_PROGRESS: Byte = 1
}

/** The state machine of a control VM; its functions run on the control thread. */
public class ServingStateMachine {
    private val log = LogManager.getLogger(ServingStateMachine::class.java)
    private val state = MutableStateFlow(ServingSnapshot())

    /** The state as far as this VM has applied it. */
    public val snapshots: StateFlow<ServingSnapshot> = state.asStateFlow()

    /** This state machine as the interface that the replicated log calls. */
    public val asReplicated: ReplicatedStateMachine =
        ReplicatedStateMachine(
            apply = ::apply,
            snapshot = { state.value.let { captured -> { encode(captured) } } },
            restore = ::restore,
        )

    private fun restore(index: LogIndex, bytes: ByteArray) {
        if (bytes.isEmpty()) return
        val restored = decode(bytes)
        state.value = restored
        log.info(
            "state restored index={} revision={} version={} drained={} rollouts={}",
            index,
            restored.revision,
            restored.document?.version,
            restored.drained,
            restored.rollouts.values,
        )
    }

    /** Applies a command and returns nothing if it was done, or the [CommandResult] that says why not. */
    private fun apply(index: LogIndex, bytes: ByteArray): ByteArray {
        val command = linkCbor.decodeFromByteArray(ServingCommand.serializer(), bytes)
        val previous = state.value
        val next = previous.after(index, command)
        state.value = next
        log.info(
            "change index={} command={} version={} changed={} drained={}",
            index,
            describe(command),
            next.document?.version,
            next.revision != previous.revision,
            next.drained,
        )
        return when (command) {
            is ServingCommand.Replace, is ServingCommand.AdvanceRollout -> done
            is ServingCommand.SetDrained ->
                if ((command.domain in next.drained) == command.isDrained) done else failed(CommandResult.SUPERSEDED)
            is ServingCommand.StartRollout ->
                when (previous.rollouts[command.order.service].decisionOn(command.order, command.basedOn)) {
                    StartDecision.START, StartDecision.REPEATED -> done
                    StartDecision.IN_PROGRESS -> failed(CommandResult.IN_PROGRESS)
                    StartDecision.SUPERSEDED -> failed(CommandResult.SUPERSEDED)
                }
        }
    }

    private val done get() = ByteArray(0)

    private fun failed(result: Byte) = byteArrayOf(result)

    private fun encode(snapshot: ServingSnapshot): ByteArray =
        linkCbor.encodeToByteArray(ServingSnapshot.serializer(), snapshot)

    private fun decode(bytes: ByteArray): ServingSnapshot =
        linkCbor.decodeFromByteArray(ServingSnapshot.serializer(), bytes)
}

private fun describe(command: ServingCommand): String = when (command) {
    is ServingCommand.Replace -> "replace:${command.document.version}"
    is ServingCommand.SetDrained ->
        "drained:${command.domain}=${command.isDrained}" +
            command.basedOn?.let { ":basedOn=$it" }.orEmpty()
    is ServingCommand.StartRollout -> command.order.run { "rollout:$service=$target:durationMs=$durationMs" }
    is ServingCommand.AdvanceRollout -> "rollout:${command.service}:order=${command.orderIndex}:${command.phase}"
}
