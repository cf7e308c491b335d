/*
 * What of a request may crash the target that runs it. A request that crashes targets is known by its content when it
 * is sent again, and by the parts of its prompt when a new request shares the one that crashes targets.
 */
package fulmarshunt.caller.relay

import fulmarshunt.Fingerprint
import fulmarshunt.PromptPartId
import fulmarshunt.caller.fingerprintOf

/** A part that crashes targets does so as the engine begins to write; a run with this many events is past that. */
internal const val SOUND_EVENTS = 2L

/** The parts of one prompt that are considered, which bounds the reports of a crash. */
private const val MAX_PARTS = 64

private val PART_TAG = "prompt-part".encodeToByteArray()

/** The possible causes of a crash in one request. */
internal class CrashCauses(
    /** The parts of the prompt that other requests may share, in their order. */
    val parts: Set<Fingerprint>,
    /** Returns the fingerprint of the beginning of the request, or null if its body is short. */
    private val beginningOf: () -> Fingerprint?,
    /** Returns the fingerprint of the whole request, or null while the end of its body has not been read. */
    private val wholeOf: () -> Fingerprint?,
) {
    private var knownWhole: Fingerprint? = null
    private var knownBeginning: Fingerprint? = null

    /** The fingerprint of the whole request, or null if it is not known yet. */
    val whole: Fingerprint? get() = knownWhole ?: wholeOf()?.also { knownWhole = it }

    /**
     * The fingerprint of the beginning of a request with a long body. It causes no crash: other requests may begin in
     * the same way. It tells for which requests the whole must be known before they are sent.
     */
    val beginning: Fingerprint? get() = knownBeginning ?: beginningOf()?.also { knownBeginning = it }

    /** The whole request, if it is known, and the parts of its prompt. */
    val all: Set<Fingerprint> get() = setOfNotNull(whole) + parts

    /** Whether the whole request must be known to tell whether it is [refused]. */
    fun needsWhole(refused: Set<Fingerprint>): Boolean =
        refused.isNotEmpty() && whole == null && beginning?.let { it in refused } == true

    /** Returns one of the causes that is [refused], or null. */
    fun refusedOrNull(refused: Set<Fingerprint>): Fingerprint? = all.firstOrNull { it in refused }

    /** Returns the causes of a crash after [events] events of the run. */
    fun afterEvents(events: Long): Set<Fingerprint> = if (events < SOUND_EVENTS) all else setOfNotNull(whole)

    /** Returns the position of [cause] in the prompt, from 1 on, or 0 for the whole request. */
    fun depthOf(cause: Fingerprint): Int = parts.indexOf(cause) + 1
}

/** Returns the causes in a request with the fingerprint [whole] and [promptParts], of which the last is not shared. */
internal fun crashCausesOf(whole: Fingerprint?, promptParts: List<PromptPartId>): CrashCauses =
    CrashCauses(sharedPartsOf(promptParts), { null }) { whole }

/** Returns the fingerprints of [promptParts] that other requests may share; the last one is of the request itself. */
internal fun sharedPartsOf(promptParts: List<PromptPartId>): Set<Fingerprint> =
    promptParts.dropLast(1).take(MAX_PARTS).mapTo(mutableSetOf()) {
        fingerprintOf(PART_TAG, it.value.encodeToByteArray())
    }
