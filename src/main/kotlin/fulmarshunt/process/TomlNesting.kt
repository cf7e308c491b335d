/*
 * A bound on the nesting of TOML. The parser recurses for each array, inline table and part of a dotted key, and a file
 * can hold more of them than a thread's stack has room for.
 */
package fulmarshunt.process

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/** The deepest nesting of a settings file; the settings of the programs are nested three deep. */
private const val MAX_NESTING = 16

/** The longest key that a problem quotes. */
private const val MAX_QUOTED_CHARACTERS = 60

private val multiLineDelimiters = listOf("\"\"\"", "'''")

/** Returns whether arrays, tables and keys of this TOML [text] are nested at most [MAX_NESTING] deep. */
internal fun checkNesting(text: String): Either<SettingsProblem, Unit> {
    val line = lineNestedDeeperThan(MAX_NESTING, text) ?: return Unit.right()
    val key = text.lineSequence().elementAt(line - 1).substringBefore('=').trim().take(MAX_QUOTED_CHARACTERS)
    return SettingsProblem("$key: line $line nests more than $MAX_NESTING deep: remove brackets or key parts").left()
}

/** Returns the number of the first line at which [text] is nested more than [limit] deep, or null. */
private fun lineNestedDeeperThan(limit: Int, text: String): Int? {
    var line = 1
    var brackets = 0
    var keyParts = 0
    var at = 0
    while (at < text.length) {
        val next = endOfToken(text, at)
        when (text[at]) {
            '[', '{' -> brackets += 1
            ']', '}' -> brackets -= 1
            '.' -> keyParts += 1
        }
        if (text[at] in "\n,=[{") keyParts = 0
        if (brackets + keyParts > limit) return line
        line += (at until next).count { text[it] == '\n' }
        at = next
    }
    return null
}

/** Returns the position after the string or comment that begins at [start], or after the character there. */
private fun endOfToken(text: String, start: Int): Int {
    val first = text[start]
    if (first == '#') return text.indexOf('\n', start).orEnd(text)
    if (first != '"' && first != '\'') return start + 1
    val delimiter = multiLineDelimiters.find { text.startsWith(it, start) } ?: first.toString()
    var at = start + delimiter.length
    while (at < text.length && !text.startsWith(delimiter, at)) {
        if (text[at] == '\n' && delimiter.length == 1) return at
        at += if (first == '"' && text[at] == '\\') 2 else 1
    }
    return minOf(at + delimiter.length, text.length)
}

private fun Int.orEnd(text: String): Int = if (this < 0) text.length else this
