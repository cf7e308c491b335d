/*
 * The steps of a leader: replication, commit, heartbeats and read barriers. At most one batch to each peer is in
 * flight; entries that arrive meanwhile form the next batch.
 */
package fulmarshunt.voter

import fulmarshunt.LogIndex
import fulmarshunt.VoterId

/**
 * The maximum size of the entries in one batch: the default send buffer of a TCP socket on Linux. A batch that takes a
 * slow link longer than the silence limit of its connection never arrives, however often it is sent.
 */
internal const val APPEND_BATCH_BYTES: Int = 16 * 1_024

internal fun StepBuilder.onPropose(event: Propose) {
    if (state.role !is Leader) {
        reply = Refused("not the leader")
        return
    }
    if (!isMajorityWriting()) {
        reply = Refused("the disks of a majority of the voters take no writes")
        return
    }
    reply = AcceptedAt(appendOwn(Command(event.command)).index)
}

/** Appends an entry of this term, stores it and sends it to the peers. */
internal fun StepBuilder.appendOwn(payload: Payload): LogEntry {
    val entry = LogEntry(state.log.last.index + 1, state.term, payload)
    extendLog(listOf(entry))
    if (payload is MembershipChange) updatePeers(payload.membership)
    store(listOf(entry))
    leaderRole().peers.keys.forEach { replicate(it) }
    return entry
}

private fun StepBuilder.updatePeers(membership: Membership) {
    val leader = leaderRole()
    val peers =
        membership.members.filter { it.id != state.id }.associate { member ->
            member.id to (leader.peers[member.id] ?: newPeer(state.log.last.index - 1, null))
        }
    state = state.copy(role = leader.copy(peers = peers))
}

/** Sends heartbeats, or stops leading if [isQuorumChecked] and a majority has not replied for an election timeout. */
internal fun StepBuilder.onHeartbeatDue(isQuorumChecked: Boolean) {
    val now = context.nowMs
    val responding =
        leaderRole().peers.filterValues {
            (it.lastReplyAtMs ?: Long.MIN_VALUE) > now - state.timing.electionTimeoutMaxMs
        }.keys
    if (isQuorumChecked && !state.membership.isQuorum(responding + state.id)) {
        becomeFollower(state.term)
        state = state.copy(leader = null, leaderAddress = null)
        return
    }
    state = state.copy(role = leaderRole().copy(heartbeatAtMs = now + state.timing.heartbeatMs))
    if (state.isDiskBlocked) handOverIfPossible()
    if (state.role is Leader) startRound()
}

internal fun StepBuilder.onConfirmLeadership() {
    val leader = state.role as? Leader
    if (leader == null) {
        reply = Refused("not the leader")
        return
    }
    reply = ConfirmedBy(leader.round + 1)
    // Read barriers that arrive while a round is in progress share the next one.
    if (state.confirmedRoundOrNull() == leader.round) {
        startRound()
    } else {
        state = state.copy(role = leader.copy(isRoundRequested = true))
    }
}

private fun StepBuilder.startRound() {
    val leader = leaderRole()
    state = state.copy(role = leader.copy(round = leader.round + 1, isRoundRequested = false))
    for ((id, peer) in leader.peers) {
        val isOverdue =
            peer.inFlightTo != null && context.nowMs - peer.inFlightSinceMs >= state.timing.electionTimeoutMinMs
        if (isOverdue) updatePeer(id) { it.copy(inFlightTo = null) }
        if (!replicate(id)) sendHeartbeat(id)
    }
}

private fun StepBuilder.sendHeartbeat(id: VoterId) {
    val peer = leaderRole().peers.getValue(id)
    val previous =
        state.log.termAtOrNull(peer.matchIndex)?.let { LogPosition(peer.matchIndex, it) } ?: LogPosition.START
    send(
        memberOf(id),
        Append(previous, emptyList(), minOf(state.commit, previous.index), stamp()),
        isAfterStore = false,
    )
}

/** Sends the next entries or the next snapshot chunk to peer [id], and returns whether there was anything to send. */
private fun StepBuilder.replicate(id: VoterId): Boolean {
    val peer = leaderRole().peers.getValue(id)
    if (peer.inFlightTo != null) return false
    val snapshot = checkNotNull(state.snapshot)
    if (peer.transfer != null || peer.nextIndex <= state.log.base.index) {
        val transfer = peer.transfer ?: SnapshotTransfer(snapshot, 0)
        val header = transfer.snapshot.header
        val end = minOf(header.sizeBytes, transfer.offsetBytes + SNAPSHOT_CHUNK_BYTES)
        val bytes = transfer.snapshot.data.copyOfRange(transfer.offsetBytes, end)
        send(memberOf(id), SnapshotChunk(header, transfer.offsetBytes, bytes, stamp()), isAfterStore = false)
        updatePeer(id) {
            it.copy(transfer = transfer, inFlightTo = header.position.index, inFlightSinceMs = context.nowMs)
        }
        return true
    }
    if (peer.nextIndex > state.log.last.index) return false
    val entries = state.log.batch(peer.nextIndex, APPEND_BATCH_BYTES)
    val previous = peer.nextIndex - 1
    val term = checkNotNull(state.log.termAtOrNull(previous))
    send(memberOf(id), Append(LogPosition(previous, term), entries, state.commit, stamp()), isAfterStore = false)
    updatePeer(id) { it.copy(inFlightTo = entries.last().index, inFlightSinceMs = context.nowMs) }
    return true
}

internal fun StepBuilder.onAppended(envelope: Envelope, message: Appended) {
    val id = envelope.from
    // The reply to a heartbeat does not wait for the disk.
    val isStored = { peer: Peer -> message.match > LogIndex(0) || peer.matchIndex >= state.log.last.index }
    if (!recordReply(id, message.stamp, isStored)) return
    updatePeer(id) { peer ->
        val match = maxOf(peer.matchIndex, message.match)
        val isAcknowledged = peer.inFlightTo != null && match >= peer.inFlightTo
        peer.copy(
            matchIndex = match,
            nextIndex = maxOf(peer.nextIndex, match + 1),
            inFlightTo = if (isAcknowledged) null else peer.inFlightTo,
            transfer = peer.transfer?.takeIf { match < it.snapshot.header.position.index },
            isDiskBlocked = message.isDiskBlocked,
        )
    }
    advanceCommit()
    afterReply(id)
}

internal fun StepBuilder.onAppendRefused(envelope: Envelope, message: AppendRefused) {
    val id = envelope.from
    if (!recordReply(id, message.stamp)) return
    updatePeer(id) { peer ->
        when {
            peer.transfer != null -> peer
            message.needsSnapshot ->
                peer.copy(transfer = SnapshotTransfer(checkNotNull(state.snapshot), 0), inFlightTo = null)
            message.previous != peer.nextIndex - 1 -> peer
            else -> {
                val next = minOf(message.hint + 1, peer.nextIndex - 1)
                peer.copy(nextIndex = maxOf(peer.matchIndex + 1, next), inFlightTo = null)
            }
        }
    }
    afterReply(id)
}

internal fun StepBuilder.onSnapshotChunkReply(envelope: Envelope, message: SnapshotChunkReply) {
    val id = envelope.from
    if (!recordReply(id, message.stamp)) return
    updatePeer(id) { peer ->
        val transfer = peer.transfer
        if (transfer == null || transfer.snapshot.header.position.index != message.index) {
            peer
        } else {
            val offset = message.nextOffsetBytes.coerceIn(0, transfer.snapshot.header.sizeBytes)
            peer.copy(transfer = transfer.copy(offsetBytes = offset), inFlightTo = null)
        }
    }
    afterReply(id)
}

/** Records a reply from [id], and returns whether [id] is a peer of this leader. */
private fun StepBuilder.recordReply(id: VoterId, stamp: Stamp, isStored: (Peer) -> Boolean = { true }): Boolean {
    if ((state.role as? Leader)?.peers?.containsKey(id) != true) return false
    updatePeer(id) { peer ->
        val acknowledged = if (stamp.round >= peer.acknowledged.round) stamp else peer.acknowledged
        val storedAtMs = if (isStored(peer)) context.nowMs else peer.lastStoredAtMs
        peer.copy(lastReplyAtMs = context.nowMs, lastStoredAtMs = storedAtMs, acknowledged = acknowledged)
    }
    return true
}

private fun StepBuilder.afterReply(id: VoterId) {
    // The reply can have committed the removal of this leader or of the peer.
    val leader = state.role as? Leader ?: return
    if (id in leader.peers) replicate(id)
    if (leader.isRoundRequested && state.confirmedRoundOrNull() == leader.round) startRound()
    promoteLearner()
}

/** Commits the entries that a quorum has on disk, and steps down if one of them removed this voter. */
internal fun StepBuilder.advanceCommit() {
    val leader = leaderRole()
    val index =
        state.membership.quorumValue { id ->
            if (id == state.id) leader.storedIndex else leader.peers.getValue(id).matchIndex
        }
    // An entry of an earlier term can still be replaced although a quorum has it, so only entries of this term count.
    if (index <= state.commit || state.log.termAtOrNull(index) != state.term) return
    commitTo(index)
    if (state.committedMembershipOrNull?.memberOrNull(state.id) == null) {
        startRound()
        becomeFollower(state.term)
        state = state.copy(leader = null, leaderAddress = null)
        return
    }
    promoteLearner()
}

internal fun StepBuilder.leaderRole(): Leader = state.role as Leader

private fun StepBuilder.updatePeer(id: VoterId, change: (Peer) -> Peer) {
    val leader = leaderRole()
    state = state.copy(role = leader.copy(peers = leader.peers + (id to change(leader.peers.getValue(id)))))
}

private fun StepBuilder.memberOf(id: VoterId): Member = checkNotNull(state.membership.memberOrNull(id))

private fun StepBuilder.stamp(): Stamp = Stamp(leaderRole().round, context.nowMs)
