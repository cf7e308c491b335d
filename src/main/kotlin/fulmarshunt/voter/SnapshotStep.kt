/*
 * Snapshots: taking them, sending them in chunks that fit a frame, and installing them.
 */
package fulmarshunt.voter

/** The size of a chunk, limited for the same reason as a batch of entries. */
internal const val SNAPSHOT_CHUNK_BYTES: Int = APPEND_BATCH_BYTES

internal fun StepBuilder.onSnapshotTaken(event: SnapshotTaken) {
    val current = checkNotNull(state.snapshot).header
    val position = event.point.position
    // A snapshot from the leader can have been installed while this one was encoded.
    if (position.index <= current.position.index) return
    check(position.index <= state.commit) { "the snapshot at ${position.index} is beyond entry ${state.commit}" }
    check(state.log.termAtOrNull(position.index) == position.term) { "entry ${position.index} is not in the log" }
    val header = SnapshotHeader(current.cluster, position, event.point.membership, event.data.size)
    val snapshot = Snapshot(header, event.data)
    // Some entries before the snapshot are kept for slow followers, because sending a snapshot costs far more.
    val timing = state.timing
    val base = state.log.indexBeforeLast(
        position.index,
        timing.snapshotEveryEntries / KEPT_DIVISOR,
        timing.snapshotEveryBytes / KEPT_DIVISOR,
    )
    state = state.copy(
        snapshot = snapshot,
        log = state.log.compactedTo(base),
        uncoveredBytes = state.log.sizeBytesBetween(position.index, state.commit),
    )
    storeSnapshot(snapshot)
}

/** Starts with the initial membership of a new cluster. */
internal fun StepBuilder.onJoinInitial(initial: SnapshotHeader) {
    if (!isBlank || initial.membership.memberOrNull(state.id) == null) return
    install(initialSnapshot(initial.cluster, initial.membership))
}

internal fun StepBuilder.onSnapshotChunk(envelope: Envelope, message: SnapshotChunk) {
    followLeader(envelope)
    val header = message.header
    if (!isBlank && header.position.index <= state.commit) {
        return sendReply(envelope, Appended(header.position.index, message.stamp), isAfterStore = true)
    }
    val incoming =
        state.incoming?.takeIf { it.header == header && message.offsetBytes > 0 }
            ?: IncomingSnapshot(header, emptyList())
    val isNext =
        message.offsetBytes == incoming.receivedBytes &&
            message.bytes.size <= header.sizeBytes - message.offsetBytes
    val extended = if (isNext) incoming.with(message.bytes) else incoming
    if (extended.receivedBytes < header.sizeBytes) {
        state = state.copy(incoming = extended)
        val reply = SnapshotChunkReply(header.position.index, extended.receivedBytes, message.stamp)
        return sendReply(envelope, reply, isAfterStore = false)
    }
    install(extended.assemble())
    sendReply(envelope, Appended(header.position.index, message.stamp), isAfterStore = true)
}

internal fun StepBuilder.refuseChunk(envelope: Envelope, message: SnapshotChunk) {
    sendReply(envelope, SnapshotChunkReply(message.header.position.index, 0, message.stamp), isAfterStore = false)
}

private fun StepBuilder.install(snapshot: Snapshot) {
    val header = snapshot.header
    val position = header.position
    val isInLog = !isBlank && state.log.termAtOrNull(position.index) == position.term
    val log = if (isInLog) state.log.compactedTo(position.index) else EntryLog(position)
    val later = if (isInLog) state.memberships.filter { it.index > position.index } else emptyList()
    state =
        state.copy(
            snapshot = snapshot,
            log = log,
            memberships = listOf(IndexedMembership(position.index, header.membership)) + later,
            commit = position.index,
            incoming = null,
            uncoveredBytes = 0,
        )
    actions += Restore(snapshot)
    storeSnapshot(snapshot)
}

private fun StepBuilder.storeSnapshot(snapshot: Snapshot) {
    actions += StoreSnapshot(state.hard, snapshot, state.log.base, state.log.slice(state.log.base.index + 1))
}

/** This part of the entries and bytes between two snapshots is kept after a snapshot. */
private const val KEPT_DIVISOR = 10
