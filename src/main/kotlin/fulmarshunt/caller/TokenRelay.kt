/*
 * Relays the tokens of one attempt to the caller, each once and in order.
 */
package fulmarshunt.caller

import fulmarshunt.target.EngineToken

/** Relays tokens immediately if [isStreamed], and otherwise when the attempt is complete. */
internal class TokenRelay(private val isStreamed: Boolean, private val emit: suspend (GenerationEvent) -> Unit) {
    private val buffered = mutableListOf<GeneratedToken>()

    /** The offset of the next token that the caller needs. */
    var nextOffset = 0
        private set

    /** Whether a token has been relayed, so that no other generation may replace this one. */
    var hasRelayed = false
        private set

    /** Accepts a token, or ignores one that was accepted before and returns false. */
    suspend fun accept(token: EngineToken): Boolean {
        check(token.offset <= nextOffset) { "the engine skipped from offset $nextOffset to ${token.offset}" }
        if (token.offset < nextOffset) return false
        nextOffset++
        val event = GeneratedToken(token.offset, token.text)
        if (isStreamed) {
            hasRelayed = true
            emit(event)
        } else {
            buffered += event
        }
        return true
    }

    /** Relays the buffered tokens. */
    suspend fun flush() {
        buffered.forEach { emit(it) }
        buffered.clear()
    }
}
