/*
 * The transport of messages between voters. Each address has its own queue and coroutine, so that an unreachable peer
 * delays only its own messages. The queue is bounded and drops the oldest message, because the protocol resends.
 */
package fulmarshunt.voter

import fulmarshunt.Address
import fulmarshunt.link.Links
import fulmarshunt.process.guardRound
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.apache.logging.log4j.LogManager
import java.util.concurrent.ConcurrentHashMap

private const val OUTBOX_MESSAGES = 64

/** How long a message may wait for its receipt; the link detects a hung connection only after a longer time. */
private const val SEND_TIMEOUT_MS = 500L

/** Carries messages between voters. The functions may be called from any thread. */
internal class VoterTransport(
    /** Sends without waiting; the message may be lost. */
    val send: (Address, Envelope) -> Unit,
    /** Returns the identity of the voter at an address, or null if there is no reply. */
    val probe: suspend (Address) -> Identity?,
    val close: () -> Unit,
)

/** Returns a transport over [links]. */
internal fun linkTransport(links: Links): VoterTransport {
    val scope = CoroutineScope(SupervisorJob() + links.dispatch)
    val log = LogManager.getLogger(VoterTransport::class.java)
    val outboxes = ConcurrentHashMap<Address, Channel<Envelope>>()

    fun openOutbox(address: Address): Channel<Envelope> {
        val outbox = Channel<Envelope>(OUTBOX_MESSAGES, BufferOverflow.DROP_OLDEST)
        scope.launch {
            for (envelope in outbox) {
                // The outbox must outlast any failure: without it, the peer would get no message any more.
                guardRound({ log.error("message not sent to={}", address, it) }) {
                    links.call(address, voterChannel, envelope, SEND_TIMEOUT_MS)
                }
            }
        }
        return outbox
    }
    return VoterTransport(
        send = { address, envelope -> outboxes.computeIfAbsent(address, ::openOutbox).trySend(envelope) },
        probe = { address ->
            withContext(links.dispatch) {
                links.call(address, voterChannel, Probe, SEND_TIMEOUT_MS).getOrNull() as? Identity
            }
        },
        close = { scope.cancel() },
    )
}
