/*
 * A bound on the nesting of JSON. Decoding into a tree recurses for each array, and a body can hold more arrays than a
 * thread's stack has room for.
 */
package fulmarshunt.platform

/** Returns whether arrays and objects in this JSON text in UTF-8 are nested more than [limit] deep. */
internal fun ByteArray.isNestedDeeperThan(limit: Int): Boolean {
    var depth = 0
    var isInString = false
    var isEscaped = false
    for (byte in this) {
        val character = byte.toInt().toChar()
        when {
            isEscaped -> isEscaped = false
            isInString && character == '\\' -> isEscaped = true
            character == '"' -> isInString = !isInString
            isInString -> Unit
            character == '[' || character == '{' -> depth += 1
            character == ']' || character == '}' -> depth -= 1
        }
        if (depth > limit) return true
    }
    return false
}
