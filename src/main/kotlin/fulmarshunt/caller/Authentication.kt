/*
 * Finds client accounts by the hash of their API keys. The index is rebuilt when the client accounts change.
 */
package fulmarshunt.caller

import fulmarshunt.ClientAccountId
import fulmarshunt.operator.ClientAccount
import fulmarshunt.sha256Hex

/** Returns the client account of an API key, or null. */
public typealias Authenticate = (String) -> ClientAccountId?

/** Returns a function that finds the client accounts returned by [accounts] by their API keys. */
public fun authenticationBy(accounts: () -> Map<ClientAccountId, ClientAccount>): Authenticate {
    val index = KeyIndex(accounts)
    return { key -> index.current()[sha256Hex(key)] }
}

private class KeyIndex(private val accounts: () -> Map<ClientAccountId, ClientAccount>) {
    private class Built(val source: Map<ClientAccountId, ClientAccount>, val byHash: Map<String, ClientAccountId>)

    @Volatile
    private var built = Built(emptyMap(), emptyMap())

    fun current(): Map<String, ClientAccountId> {
        val source = accounts()
        if (built.source !== source) {
            built = Built(source, source.values.associate { it.keySha256.lowercase() to it.id })
        }
        return built.byHash
    }
}
