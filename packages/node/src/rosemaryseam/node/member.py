"""Fleet membership: heartbeats, gossip and proof that a process has ended."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from rosemaryseam.node.messages import Heartbeat, MemberInfo, Received, UpstreamMark
from rosemaryseam.node.tasks import Task
from rosemaryseam.node.transport import PeerRefusedConnection
from rosemaryseam.policy.quorum import has_majority

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.node.settings import Timing
    from rosemaryseam.node.transport import Transport

STARTING = 'starting'
LIVE = 'live'
LEAVING = 'leaving'
ENDED = 'ended'  # the process has provably ended

# A connection without an echo for this fraction of the silence limit is replaced.
RECONNECT_SILENCE_FRACTION = 0.5
MAX_GOSSIP_ENTRIES = 16  # members listed in one heartbeat
ENDED_RETENTION_S = 600.0  # time for which ended members stay in the table


class Peer(NamedTuple):
    """State of one member in a :class:`MembershipView`.

    ``reachable`` is true while heartbeats arrive, ``revision`` is the revision of the
    catalogue that the member holds.
    """

    host: str
    incarnation: int
    zone: str
    state: str
    reachable: bool
    revision: int


class MembershipView(NamedTuple):
    """Snapshot of the members that this host knows, itself included.

    ``unmet_seeds`` are addresses of seeds that have neither answered nor refused a
    connection; their processes may be running, so they count as members.
    """

    host: str
    peers: tuple[Peer, ...]
    unmet_seeds: tuple[str, ...]
    leaving_upstreams: frozenset[str]

    @property
    def roster(self) -> frozenset[str]:
        """All hosts whose process may be running."""
        running = {peer.host for peer in self.peers if peer.state != ENDED}
        return frozenset(running | set(self.unmet_seeds))

    @property
    def reachable(self) -> frozenset[str]:
        """All hosts with recent heartbeats whose process has not ended."""
        return frozenset(
            peer.host for peer in self.peers if peer.reachable and peer.state != ENDED
        )

    @property
    def has_majority(self) -> bool:
        """Whether the reachable hosts form a majority of the roster."""
        return has_majority(self.reachable, self.roster)


class SetState(NamedTuple):
    """Message that sets the state of this process."""

    state: str


class SetRevision(NamedTuple):
    """Message that reports the catalogue revision in force on this host."""

    revision: int


class ObservedUpstreams(NamedTuple):
    """Message with observed upstream states: whether each is leaving, by name."""

    leaving: dict[str, bool]


class ObservedHosts(NamedTuple):
    """Message with the entry hosts that the platform's host list reports as ended."""

    ended: frozenset[str]


class _Member:
    def __init__(self, info: MemberInfo, now: float) -> None:
        self.info = info
        self.last_heartbeat_at = now
        self.last_echo = 0
        self.last_echo_at = now
        self.last_received_sequence = 0
        self.revision = 0
        self.ended_at = now


class MemberTask(Task):
    """Task that owns the membership table and exchanges heartbeats with all members.

    :param local_member: entry of this process
    :param seeds: peer addresses to contact at the start
    :param publish: called with each new :class:`MembershipView`
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        timing: Timing,
        transport: Transport,
        rng: random.Random,
        local_member: MemberInfo,
        seeds: Sequence[str],
        publish: Callable[[MembershipView], None],
    ) -> None:
        super().__init__(clock, metrics, timing.heartbeat_s)
        self._timing = timing
        self._transport = transport
        self._rng = rng
        self._local_member = local_member
        self._publish = publish
        self._members: dict[str, _Member] = {}
        self._unmet_seeds = {seed for seed in seeds if seed != local_member.address}
        self._seeds = frozenset(self._unmet_seeds)
        self._revision = 0
        self._sequence = 0
        self._sent_at: dict[int, float] = {}
        self._marks: dict[str, UpstreamMark] = {}
        self._last_view: MembershipView | None = None

    @property
    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """The handler for each type of message."""
        return {
            Received: self._on_received,
            PeerRefusedConnection: self._on_connection_refused,
            SetState: self._on_set_state,
            SetRevision: self._on_set_revision,
            ObservedUpstreams: self._on_observed_upstreams,
            ObservedHosts: self._on_observed_hosts,
        }

    def view(self) -> MembershipView:
        """Return a snapshot of the membership table."""
        now = self.clock.monotonic()
        peers = [
            Peer(
                member.info.host,
                member.info.incarnation,
                member.info.zone,
                member.info.state,
                now - member.last_heartbeat_at < self._timing.silence_s,
                member.revision,
            )
            for member in self._members.values()
        ]
        me = self._local_member
        peers.append(
            Peer(me.host, me.incarnation, me.zone, me.state, True, self._revision)
        )
        leaving = {mark.upstream for mark in self._marks.values() if mark.leaving}
        return MembershipView(
            me.host,
            tuple(sorted(peers)),
            tuple(sorted(self._unmet_seeds)),
            frozenset(leaving),
        )

    def tick(self) -> None:
        """Send heartbeats, replace silent connections and publish changes."""
        self._remove_ended_members()
        self._replace_silent_connections()
        self._send_heartbeats()
        self._publish_changes()

    def dump(self) -> dict[str, Any]:
        """Return the membership table in JSON types."""
        view = self.view()
        return {
            'members': [peer._asdict() for peer in view.peers],
            'unmet_seeds': list(view.unmet_seeds),
            'leaving_upstreams': sorted(view.leaving_upstreams),
            'majority': view.has_majority,
        }

    def _on_received(self, received: Received) -> None:
        heartbeat = received.message
        if not isinstance(heartbeat, Heartbeat):
            return
        member = self._update_sender(heartbeat.sender)
        if member is None:
            return
        now = self.clock.monotonic()
        member.last_heartbeat_at = now
        member.last_received_sequence = heartbeat.sequence
        member.revision = heartbeat.revision
        if heartbeat.echo > member.last_echo:
            member.last_echo = heartbeat.echo
            member.last_echo_at = now
        for info in heartbeat.members:
            self._merge_member(info)
        for mark in heartbeat.marks:
            self._merge_mark(mark)
        self._publish_changes()

    def _update_sender(self, info: MemberInfo) -> _Member | None:
        """Update and return the sender's entry; ``None`` if it is outdated or ended."""
        if info.host == self._local_member.host:
            return None
        known = self._members.get(info.host)
        if known is not None and _is_outdated(info, known.info):
            self.metrics.count('heartbeats_outdated')
            return None
        now = self.clock.monotonic()
        if known is None or known.info.incarnation != info.incarnation:
            known = _Member(info, now)
            self._members[info.host] = known
        known.info = info
        self._unmet_seeds.discard(info.address)
        self._transport.register(info.host, info.address)
        if info.state == ENDED:
            self._mark_ended(known)
            return None
        return known

    def _merge_member(self, info: MemberInfo) -> None:
        """Merge gossip about a member that may not have sent a heartbeat yet.

        Such a member starts as unreachable.
        """
        if info.host == self._local_member.host:
            return
        known = self._members.get(info.host)
        newer = known is None or info.incarnation > known.info.incarnation
        if newer and info.state != ENDED:
            self._transport.register(info.host, info.address)
            self._unmet_seeds.discard(info.address)
            member = _Member(info, self.clock.monotonic() - self._timing.silence_s)
            self._members[info.host] = member
            return
        same = known is not None and info.incarnation == known.info.incarnation
        if same and info.state == ENDED and known.info.state != ENDED:
            self._mark_ended(known)

    def _merge_mark(self, mark: UpstreamMark) -> None:
        known = self._marks.get(mark.upstream)
        if known is None or mark.version > known.version:
            self._marks[mark.upstream] = mark

    def _on_connection_refused(self, refused: PeerRefusedConnection) -> None:
        self._unmet_seeds.discard(refused.address)
        for member in self._members.values():
            running = member.info.state != ENDED
            if member.info.address == refused.address and running:
                self._mark_ended(member)
        self._publish_changes()

    def _on_set_state(self, message: SetState) -> None:
        self._local_member = self._local_member._replace(state=message.state)
        self._send_heartbeats()
        self._publish_changes()

    def _on_set_revision(self, message: SetRevision) -> None:
        self._revision = message.revision
        if self._local_member.state == STARTING:
            self._local_member = self._local_member._replace(state=LIVE)
        self._send_heartbeats()
        self._publish_changes()

    def _on_observed_upstreams(self, message: ObservedUpstreams) -> None:
        version = int(self.clock.now().timestamp() * 1000)
        changed = False
        for upstream, leaving in message.leaving.items():
            known = self._marks.get(upstream)
            if leaving != (known is not None and known.leaving):
                self._marks[upstream] = UpstreamMark(upstream, version, leaving)
                changed = True
        if changed:
            self._send_heartbeats()
            self._publish_changes()

    def _on_observed_hosts(self, message: ObservedHosts) -> None:
        for member in self._members.values():
            silent = (
                self.clock.monotonic() - member.last_heartbeat_at
                > self._timing.silence_s
            )
            if member.info.host in message.ended and silent:
                self._mark_ended(member)
        self._publish_changes()

    def _mark_ended(self, member: _Member) -> None:
        member.info = member.info._replace(state=ENDED)
        member.ended_at = self.clock.monotonic()

    def _remove_ended_members(self) -> None:
        expired_before = self.clock.monotonic() - ENDED_RETENTION_S
        for host, member in list(self._members.items()):
            if member.info.state == ENDED and member.ended_at < expired_before:
                del self._members[host]

    def _send_heartbeats(self) -> None:
        self._sequence += 1
        now = self.clock.monotonic()
        self._sent_at[self._sequence] = now
        self._sent_at.pop(self._sequence - 100, None)
        gossip = self._select_gossip()
        member_addresses = set()
        for member in self._members.values():
            member_addresses.add(member.info.address)
            if member.info.state != ENDED:
                heartbeat = self._build_heartbeat(gossip, member.last_received_sequence)
                self._transport.send(member.info.host, heartbeat)
        for seed in self._seeds - member_addresses:
            self._transport.send_to_address(seed, self._build_heartbeat(gossip, 0))

    def _build_heartbeat(self, gossip: tuple[MemberInfo, ...], echo: int) -> Heartbeat:
        return Heartbeat(
            self._local_member,
            self._sequence,
            echo,
            self._revision,
            gossip,
            tuple(self._marks.values()),
        )

    def _select_gossip(self) -> tuple[MemberInfo, ...]:
        infos = [member.info for member in self._members.values()]
        if len(infos) > MAX_GOSSIP_ENTRIES:
            infos = self._rng.sample(infos, MAX_GOSSIP_ENTRIES)
        return tuple(infos)

    def _replace_silent_connections(self) -> None:
        """Replace the connections of members that have not echoed heartbeats recently.

        This happens well before the silence limit, so that a dead connection alone
        does not make a peer unreachable.
        """
        now = self.clock.monotonic()
        for member in self._members.values():
            if member.info.state == ENDED:
                continue
            if (
                now - member.last_echo_at
                > self._timing.silence_s * RECONNECT_SILENCE_FRACTION
            ):
                member.last_echo_at = now
                self._transport.reset(member.info.address)

    def _publish_changes(self) -> None:
        view = self.view()
        if view != self._last_view:
            self._last_view = view
            self._publish(view)


def _is_outdated(info: MemberInfo, known: MemberInfo) -> bool:
    if info.incarnation != known.incarnation:
        return info.incarnation < known.incarnation
    return known.state == ENDED and info.state != ENDED
