/*
 * Passes the tokens of one attempt on to the caller, each once and in order.
 */
package fulmarshunt.caller

import fulmarshunt.target.EngineToken

/** Relays tokens at once when [isStreamed], otherwise when the attempt is complete. */
internal class TokenRelay(private val isStreamed: Boolean, private val emit: suspend (GenerationEvent) -> Unit) {
    private val held = mutableListOf<GeneratedToken>()

    /** The offset of the next token that the caller needs. */
    var next = 0
        private set

    /** True once a token has been passed on, so that no other generation may replace this one. */
    var hasRelayed = false
        private set

    /** Takes a token; one that was taken before is dropped and false is returned. */
    suspend fun accept(token: EngineToken): Boolean {
        check(token.offset <= next) { "the engine skipped from offset $next to ${token.offset}" }
        if (token.offset < next) return false
        next++
        val event = GeneratedToken(token.offset, token.text)
        if (isStreamed) {
            hasRelayed = true
            emit(event)
        } else {
            held += event
        }
        return true
    }

    /** Passes on the tokens that were held back. */
    suspend fun release() {
        held.forEach { emit(it) }
        held.clear()
    }
}
