/*
 * The durable state of a deployment: the latest serving configuration and the drained failure domains. It is held by
 * the state machine of the replicated log, so that every change has a log index, by which entry VMs order the states
 * that they receive.
 */
package fulmarshunt.operator.serving

import fulmarshunt.ConfigurationVersion
import fulmarshunt.FailureDomainId
import fulmarshunt.LogIndex
import fulmarshunt.link.linkCbor
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
public class ConfigurationDocument(public val version: ConfigurationVersion, @ByteString public val bytes: ByteArray)

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
            "state restored index={} revision={} version={} drained={}",
            index,
            restored.revision,
            restored.document?.version,
            restored.drained,
        )
    }

    /** Applies a command and returns one byte if an order had no effect because a later one preceded it. */
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
        val isSuperseded = command is ServingCommand.SetDrained && (command.domain in next.drained) != command.isDrained
        return if (isSuperseded) ByteArray(1) else ByteArray(0)
    }

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
}
