/*
 * The entry VM's side of fetching. It fetches the newest configuration that a watch has named, from one control VM at a
 * time, and decodes each version once. Confined to the control thread; parts are joined and decoded on other threads.
 */
package fulmarshunt.entry.document

import arrow.core.Either
import fulmarshunt.Address
import fulmarshunt.Clock
import fulmarshunt.ConfigurationVersion
import fulmarshunt.link.LinkFailure
import fulmarshunt.link.Links
import fulmarshunt.operator.serving.ConfigurationDocument
import fulmarshunt.operator.serving.RoutingTable
import fulmarshunt.operator.serving.ServingConfiguration
import fulmarshunt.process.ControlThread
import fulmarshunt.process.LimitedLog
import fulmarshunt.process.guardRound
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager

/** How long a control VM may take for one part before another one is asked for it. */
private const val PART_TIMEOUT_MS = 500L

/** The time limit doubles with each part that is late, because a link may be slower than any fixed limit allows. */
private const val MAX_PART_TIMEOUT_MS = 8_000L

/** The pause before the next control VM is asked after one that does not have the document. */
private const val RETRY_PAUSE_MS = 50L

/** Decodes a document into a configuration, or returns the reason why it cannot be used. */
public typealias DecodeConfiguration = (ConfigurationDocument) -> Either<String, ServingConfiguration>

/** Fetches configurations and passes their tables to [onApplied]. */
internal class ConfigurationFetcher(
    private val links: Links,
    private val control: ControlThread,
    private val clock: Clock,
    private val decode: DecodeConfiguration,
    /** The control VMs that may have a document, in the order in which they are asked. */
    private val sources: () -> List<Address>,
    private val onApplied: (RoutingTable) -> Unit,
) {
    private val log = LogManager.getLogger(ConfigurationFetcher::class.java)
    private val failureLog = LimitedLog(log)

    private class Wanted(
        val version: ConfigurationVersion,
        /** Null if a control VM of an older version has sent [document]. */
        val reference: DocumentReference?,
        val document: ConfigurationDocument?,
    )

    private val wanted = MutableStateFlow<Wanted?>(null)

    /** The last document that was decoded, whether it can be used or not. */
    private var last: ConfigurationDocument? = null

    /** Whether a transfer was given up since [last] for a newer one; the next one is completed. */
    private var hasGivenUp = false
    private var source: Address? = null

    /** Starts to fetch what [want] names. */
    fun start() {
        control.scope.launch {
            while (true) {
                val next = wanted.filterNotNull().first(::isNewer)
                var hasFailed = false
                val onFailure = { e: Exception ->
                    hasFailed = true
                    recordFailure(next, e)
                }
                guardRound(onFailure) { obtain(next) }
                if (hasFailed) delay(RETRY_PAUSE_MS)
            }
        }
    }

    /** Fetches the document of [reference] unless a newer one is known; [from] has it. */
    fun want(reference: DocumentReference, from: Address?) {
        if (!isNewest(reference.version)) return
        source = from
        wanted.value = Wanted(reference.version, reference, null)
    }

    /** Applies [document] unless a newer one is known. */
    fun receive(document: ConfigurationDocument) {
        if (isNewest(document.version)) wanted.value = Wanted(document.version, null, document)
    }

    private fun isNewest(version: ConfigurationVersion): Boolean =
        version > maxOf(wanted.value?.version ?: NONE, last?.version ?: NONE)

    private fun isNewer(candidate: Wanted): Boolean = candidate.version > (last?.version ?: NONE)

    private fun recordFailure(failed: Wanted, e: Exception) {
        log.error("configuration failed version={}", failed.version, e)
        // An exception would come again with the same document.
        if (failed.document != null) last = failed.document
    }

    private suspend fun obtain(next: Wanted) {
        val startedAtMs = clock.nowMs()
        val base = last
        val document = next.document ?: fetchOrNull(checkNotNull(next.reference)) ?: return
        val fetchedAtMs = clock.nowMs()
        last = document
        hasGivenUp = false
        val table = withContext(Dispatchers.Default) { decode(document).map(::RoutingTable) }
        table.fold(
            { problem -> log.error("configuration unusable version={} problem={}", document.version, problem) },
            {
                log.info(
                    "configuration applied version={} base={} bytes={} fetchMs={} decodeMs={} source={}",
                    document.version,
                    base?.version,
                    document.bytes.size,
                    fetchedAtMs - startedAtMs,
                    clock.nowMs() - fetchedAtMs,
                    source,
                )
                onApplied(it)
            },
        )
    }

    /** Returns the document of [reference], or null if it was given up for a newer one. */
    private suspend fun fetchOrNull(reference: DocumentReference): ConfigurationDocument? {
        val transfer = DocumentTransfer(reference, last)
        var timeoutMs = PART_TIMEOUT_MS
        while (true) {
            if (isOvertaken(transfer)) {
                hasGivenUp = true
                log.info("configuration given up version={} newest={}", reference.version, wanted.value?.version)
                return null
            }
            val address = source ?: selectSource(null)
            val request = transfer.nextRequest()
            val reply = address?.let { links.call(it, documentChannel, request, timeoutMs, isExtended = true) }
            when (val part = reply?.getOrNull()) {
                is DocumentPart -> when (val result = withContext(Dispatchers.Default) { transfer.receive(part) }) {
                    TransferResult.Incomplete -> Unit
                    is TransferResult.Complete -> return result.document
                    is TransferResult.Damaged ->
                        turnAway(address, "version=${reference.version} is damaged: ${result.reason}")
                }
                UnknownDocument -> {
                    turnAway(address, "version=${reference.version} is not known there")
                    if (isNewerWanted(reference)) return null
                }
                null -> {
                    val failure = reply?.leftOrNull()
                    if (failure is LinkFailure.Lost) timeoutMs = minOf(MAX_PART_TIMEOUT_MS, timeoutMs * 2)
                    turnAway(address, "version=${reference.version} ${failure?.reason ?: "no control VM is known"}")
                }
            }
        }
    }

    private fun isNewerWanted(reference: DocumentReference): Boolean =
        (wanted.value?.version ?: NONE) > reference.version

    /** Whether a newer document is fetched in place of one of which little has arrived. */
    private fun isOvertaken(transfer: DocumentTransfer): Boolean =
        isNewerWanted(transfer.wanted) && !transfer.isHalfDone && !hasGivenUp

    /** Turns from the control VM at [address] to the next one, after a pause. */
    private suspend fun turnAway(address: Address?, reason: String) {
        failureLog.log(Level.INFO, "configuration not fetched source=$address reason=$reason")
        source = selectSource(address)
        delay(RETRY_PAUSE_MS)
    }

    private fun selectSource(former: Address?): Address? {
        val known = sources()
        return known.getOrNull(known.indexOf(former) + 1) ?: known.firstOrNull()
    }

    private companion object {
        /** Less than any version. */
        val NONE = ConfigurationVersion(Long.MIN_VALUE)
    }
}
