/*
 * The number of entry VMs that one of them derives from the counts of control VMs.
 */
package fulmarshunt.entry

import fulmarshunt.entry.watch.ENTRY_VM_RETENTION_MS
import fulmarshunt.entry.watch.EntryVmCount
import fulmarshunt.target.fleet.PLANNED_ENTRY_VMS
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Longer than the time that others need to count an entry VM that has started. */
private const val SETTLED_MS = 5_000L

class EntryVmCountTest {
    private val count = EntryVmCount()

    /** Guards against shares that are too large because a control VM that has just started has heard of few others. */
    @Test
    fun `counts that are not complete are not used`() {
        count.receive(1, false, 0)
        expectThat(count.at(SETTLED_MS)).isEqualTo(PLANNED_ENTRY_VMS)
        count.receive(8, true, SETTLED_MS)
        expectThat(count.at(2 * SETTLED_MS)).isEqualTo(8)
        count.receive(9, false, 2 * SETTLED_MS)
        expectThat(count.at(2 * SETTLED_MS)).isEqualTo(9)
    }

    /** Guards against a new entry VM that uses its share before the others have made theirs smaller. */
    @Test
    fun `a complete count is used once the others count this entry VM`() {
        count.receive(3, true, 0)
        expectThat(count.at(0)).isEqualTo(PLANNED_ENTRY_VMS)
        expectThat(count.at(SETTLED_MS)).isEqualTo(3)
    }

    /** Guards against shares that grow while entry VMs beyond a cut go on with theirs. */
    @Test
    fun `a lower count is used only after the retention of a higher one`() {
        count.receive(8, true, 0)
        count.receive(4, true, SETTLED_MS)
        expectThat(count.at(SETTLED_MS)).isEqualTo(8)
        count.receive(4, true, ENTRY_VM_RETENTION_MS + 1)
        expectThat(count.at(ENTRY_VM_RETENTION_MS + 1)).isEqualTo(4)
    }
}
