/*
 * Compares docs/settings.md with the structure of the settings that the programs read.
 */
package fulmarshunt.process

import fulmarshunt.operator.Answers
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementNames
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.nio.file.Path
import kotlin.io.path.readLines

/** A key with its type, and whether it must be given. */
private data class Key(val path: String, val type: String, val isRequired: Boolean)

class SettingsPageTest {
    /** Guards against a page that lists other keys, types or required keys than the programs have. */
    @Test
    fun `the page lists the keys of the code`() {
        val sections =
            mapOf(
                "entry" to EntrySettings.serializer().descriptor,
                "control" to ControlSettings.serializer().descriptor,
                "fleet-entry" to FleetEntrySettings.serializer().descriptor,
                "fleet-control" to FleetControlSettings.serializer().descriptor,
                "orders and questionnaire" to OperatorSettings.serializer().descriptor,
                "Answers file of the questionnaire" to Answers.serializer().descriptor,
            )
        sections.forEach { (section, descriptor) ->
            expectThat(pageKeys(section)).isEqualTo(descriptor.keys("").sortedBy { it.path })
        }
    }

    private fun pageKeys(section: String): List<Key> = Path
        .of("docs/settings.md")
        .readLines()
        .dropWhile { it != "## $section" }
        .drop(1)
        .takeWhile { !it.startsWith("## ") }
        .filter { it.startsWith("| `") }
        .map { row -> row.split('|').map { it.trim() } }
        .map { cells -> Key(cells[1].trim('`'), cells[2].replace("`", ""), cells[3] == "required") }
        .sortedBy { it.path }
}

/** Sections that only group keys are not listed themselves, unless they can be left out. */
private fun SerialDescriptor.keys(prefix: String): List<Key> = (0 until elementsCount).flatMap { index ->
    val path = prefix + getElementName(index)
    val element = getElementDescriptor(index).unwrapped()
    val items = if (element.kind == StructureKind.LIST) element.getElementDescriptor(0).unwrapped() else element
    val nested = if (items.kind == StructureKind.CLASS) items.keys("$path.") else emptyList()
    val own = Key(path, element.typeName(), !isElementOptional(index))
    if (element.kind == StructureKind.CLASS && path !in sectionsWithOwnRow) nested else listOf(own) + nested
}

/** The sections that have a row of their own on the page. */
private val sectionsWithOwnRow = setOf("remove")

private fun SerialDescriptor.unwrapped(): SerialDescriptor = if (isInline) getElementDescriptor(0).unwrapped() else this

private fun SerialDescriptor.typeName(): String = when (kind) {
    PrimitiveKind.STRING -> "text"
    PrimitiveKind.BOOLEAN -> "true or false"
    PrimitiveKind.INT, PrimitiveKind.LONG -> "whole number"
    PrimitiveKind.DOUBLE -> "number"
    SerialKind.ENUM -> "one of ${elementNames.joinToString()}"
    StructureKind.LIST -> {
        val items = getElementDescriptor(0).unwrapped()
        if (items.kind == StructureKind.CLASS) "list of tables" else "list of ${items.typeName()}"
    }
    else -> "table"
}
