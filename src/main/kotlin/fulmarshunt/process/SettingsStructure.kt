/*
 * Comparison of a parsed settings file with the structure that a program expects: unknown and missing keys, wrong units
 * and wrong types. The messages of the parser name neither the field nor the fix.
 */
package fulmarshunt.process

import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementNames
import net.peanuuutz.tomlkt.TomlArray
import net.peanuuutz.tomlkt.TomlElement
import net.peanuuutz.tomlkt.TomlLiteral
import net.peanuuutz.tomlkt.TomlTable

/** Suffixes that name a unit, with the unit's name for messages. */
private val unitsBySuffix =
    mapOf(
        "ms" to "milliseconds",
        "s" to "seconds",
        "sec" to "seconds",
        "seconds" to "seconds",
        "min" to "minutes",
        "minutes" to "minutes",
        "bytes" to "bytes",
        "kb" to "kilobytes",
        "mb" to "megabytes",
        "gb" to "gigabytes",
        "tokens" to "tokens",
    )

/** A known key is suggested for an unknown one only if the edit distance is at most this. */
private const val MAX_SUGGESTED_EDITS = 3

/** Returns the first difference between [element] and [descriptor], or null if they agree. */
internal fun findStructureProblem(
    element: TomlElement,
    descriptor: SerialDescriptor,
    field: String = "",
): SettingsProblem? = when (descriptor.kind) {
    StructureKind.CLASS ->
        if (descriptor.isInline) {
            findStructureProblem(element, descriptor.getElementDescriptor(0), field)
        } else {
            findTableProblem(element, descriptor, field)
        }
    StructureKind.LIST -> findListProblem(element, descriptor, field)
    else -> findScalarProblem(element, descriptor, field)
}

private fun findTableProblem(element: TomlElement, descriptor: SerialDescriptor, field: String): SettingsProblem? {
    val table = element as? TomlTable ?: return wrongType(field, "a table", "write it as [$field]")
    val known = descriptor.elementNames.toList()
    table.keys.firstOrNull { it !in known }?.let { return unknownKey(join(field, it), it, known) }
    for (index in 0 until descriptor.elementsCount) {
        val name = descriptor.getElementName(index)
        val value = table[name]
        val expected = descriptor.getElementDescriptor(index)
        if (value != null) {
            findStructureProblem(value, expected, join(field, name))?.let { return it }
        } else if (!descriptor.isElementOptional(index)) {
            return SettingsProblem("${join(field, name)}: is missing: add it as ${describe(expected)}")
        }
    }
    return null
}

private fun findListProblem(element: TomlElement, descriptor: SerialDescriptor, field: String): SettingsProblem? {
    val expected = descriptor.getElementDescriptor(0)
    val list = element as? TomlArray ?: return wrongType(field, describe(descriptor), "write it in [brackets]")
    list.forEachIndexed { index, item ->
        findStructureProblem(item, expected, "$field[$index]")?.let { return it }
    }
    return null
}

private fun findScalarProblem(element: TomlElement, descriptor: SerialDescriptor, field: String): SettingsProblem? {
    val literal = element as? TomlLiteral ?: return wrongType(field, describe(descriptor), "give one value")
    val type = literal.type
    val text = literal.content
    return when (descriptor.kind) {
        PrimitiveKind.STRING ->
            if (type == TomlLiteral.Type.String) null else wrongType(field, "text", "write \"$text\"")
        PrimitiveKind.BOOLEAN ->
            if (type == TomlLiteral.Type.Boolean) null else wrongType(field, "a truth value", "write true or false")
        PrimitiveKind.INT, PrimitiveKind.LONG -> when {
            type != TomlLiteral.Type.Integer -> wrongType(field, "a whole number", "write digits only")
            descriptor.kind == PrimitiveKind.INT && text.toIntOrNull() == null && text.toLongOrNull() != null ->
                SettingsProblem("$field: $text is out of range: use at most ${Int.MAX_VALUE}")
            else -> null
        }
        PrimitiveKind.DOUBLE ->
            if (type == TomlLiteral.Type.Float || type == TomlLiteral.Type.Integer) {
                null
            } else {
                wrongType(field, "a number", "write it without quotes")
            }
        SerialKind.ENUM -> {
            val names = descriptor.elementNames.toList()
            if (type == TomlLiteral.Type.String && text in names) {
                null
            } else {
                SettingsProblem("$field: \"$text\" is not a known value: use one of ${names.joinToString()}")
            }
        }
        else -> null
    }
}

private fun unknownKey(field: String, key: String, known: List<String>): SettingsProblem {
    val stem = key.substringBeforeLast('_')
    val suffix = key.substringAfterLast('_', "")
    val sameStem = known.firstOrNull { it != key && it.substringBeforeLast('_') == stem && unitOf(it) != null }
    if (sameStem != null && suffix in unitsBySuffix) {
        return SettingsProblem("$field: has the wrong unit: use $sameStem, in ${unitOf(sameStem)}")
    }
    known.firstOrNull { unitOf(it) != null && it.substringBeforeLast('_') == key }?.let {
        return SettingsProblem("$field: has no unit: use $it, in ${unitOf(it)}")
    }
    val closest = known.minByOrNull { editDistance(it, key) }
    if (closest != null && editDistance(closest, key) <= MAX_SUGGESTED_EDITS) {
        return SettingsProblem("$field: is not a known key: did you mean $closest?")
    }
    return SettingsProblem("$field: is not a known key: use one of ${known.joinToString()}")
}

private fun unitOf(key: String): String? = unitsBySuffix[key.substringAfterLast('_', "")]

private fun wrongType(field: String, expected: String, fix: String): SettingsProblem =
    SettingsProblem("$field: has the wrong type: it must be $expected: $fix")

private fun describe(descriptor: SerialDescriptor): String = when (descriptor.kind) {
    PrimitiveKind.STRING -> "text"
    PrimitiveKind.BOOLEAN -> "true or false"
    PrimitiveKind.INT, PrimitiveKind.LONG -> "a whole number"
    PrimitiveKind.DOUBLE -> "a number"
    SerialKind.ENUM -> "one of ${descriptor.elementNames.joinToString()}"
    StructureKind.LIST -> "a list"
    else -> if (descriptor.isInline) describe(descriptor.getElementDescriptor(0)) else "a table"
}

private fun join(field: String, key: String): String = if (field.isEmpty()) key else "$field.$key"

/** Returns the edit distance between [a] and [b], in inserted, removed and replaced characters. */
internal fun editDistance(a: String, b: String): Int {
    var previous = IntArray(b.length + 1) { it }
    for (i in 1..a.length) {
        val current = IntArray(b.length + 1)
        current[0] = i
        for (j in 1..b.length) {
            val replaced = previous[j - 1] + if (a[i - 1] == b[j - 1]) 0 else 1
            current[j] = minOf(replaced, previous[j] + 1, current[j - 1] + 1)
        }
        previous = current
    }
    return previous[b.length]
}
