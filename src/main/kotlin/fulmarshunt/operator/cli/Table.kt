/*
 * Formatting of text tables for terminals.
 */
package fulmarshunt.operator.cli

private const val COLUMN_GAP = "  "

/** Returns the lines of a table whose columns are as wide as their widest cell. */
internal fun formatTable(header: List<String>, rows: List<List<String>>): List<String> {
    val lines = listOf(header) + rows
    val widths = header.indices.map { column -> lines.maxOf { it[column].length } }
    return lines.map { cells ->
        cells.withIndex().joinToString(COLUMN_GAP) { (column, cell) -> cell.padEnd(widths[column]) }.trimEnd()
    }
}
