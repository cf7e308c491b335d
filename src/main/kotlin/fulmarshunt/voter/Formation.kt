/*
 * How a new cluster starts. A voter's id exists only once its data directory does, so that settings can name initial
 * voters only by VM. The rules that keep a second cluster from forming are:
 *
 * - A voter without a snapshot is blank. It neither votes nor campaigns, and it forgets nothing by being wiped.
 * - Only one initial voter, the former, forms a cluster, only while it is blank, and only after every initial
 *   voter has answered that it is blank too and was started with the bootstrap flag. The initial membership consists of
 *   the ids in these answers, so that a voter wiped later is not in it.
 * - A blank voter takes part in a cluster only if the initial membership contains its own id, or if a leader sends it a
 *   snapshot under its id. Having been blank until then, it cannot have voted under that id before.
 * - A cluster is named after the id of the voter that formed it. Messages of another cluster are dropped, so that a
 *   cluster whose former was wiped before anyone joined cannot mix with the one that its successor forms.
 *
 * Forming needs all initial voters, not a majority: a majority can consist of wiped voters. If all initial voters are
 * wiped together, the bootstrap flag forms a new, empty cluster; operators clear the flag after the first start.
 */
package fulmarshunt.voter

import fulmarshunt.ClusterId
import fulmarshunt.VmId

/**
 * Returns the initial membership that the blank voter [self] may start with, or null if it must wait.
 *
 * @param replies what the other initial voters said about themselves, by the VM that the settings expect.
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
