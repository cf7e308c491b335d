/*
 * Formation of a new cluster. A voter's id is created together with its data directory, so that settings can name the
 * initial voters only by VM. These rules prevent a second cluster from forming:
 *
 * - A voter without a snapshot is blank. It neither votes nor starts elections, so that wiping it loses nothing.
 * - Only one initial voter, the one on the forming VM, forms a cluster, only while it is blank, and only after every
 *   initial voter has replied that it is blank too and was started with the bootstrap flag. The initial membership
 *   consists of the ids in these replies, so that a voter wiped later is not in it.
 * - A blank voter takes part in a cluster only if the initial membership contains its own id, or if a leader sends it a
 *   snapshot under its id. Because it was blank until then, it cannot have voted under that id before.
 * - A cluster is named after the id of the voter that formed it. Messages of another cluster are dropped, so that a
 *   cluster whose forming voter was wiped before anyone joined stays apart from the one that its successor forms.
 *
 * Formation needs all initial voters, because a majority can consist of wiped voters. If all initial voters are wiped
 * together, the bootstrap flag forms a new, empty cluster; operators clear the flag after the first start.
 */
package fulmarshunt.voter

import fulmarshunt.ClusterId
import fulmarshunt.VmId

/**
 * Returns the initial membership that the blank voter [self] may start with, or null if it must wait.
 *
 * @param replies the identities that the other initial voters have sent, by the VM that the settings expect.
 */
internal fun initialMembershipOrNull(
    self: Identity,
    initialVoters: InitialVoters,
    replies: Map<VmId, Identity>,
): SnapshotHeader? {
    val joinable = replies.values.mapNotNull { it.initial }.find { it.membership.isVoter(self.id) }
    if (joinable != null) return joinable
    val all = replies + (self.vm to self)
    val mayForm =
        self.vm == initialVoters.formingVm &&
            all.keys == initialVoters.members.keys &&
            all.all { (vm, identity) -> identity.vm == vm && identity.isBlank && identity.isBootstrapping } &&
            all.values.distinctBy { it.id }.size == all.size
    if (!mayForm) return null
    val members = initialVoters.members.map { (vm, address) -> Member(all.getValue(vm).id, vm, address) }
    return initialSnapshot(ClusterId(self.id.value), Membership(members.sortedBy { it.vm.value })).header
}
