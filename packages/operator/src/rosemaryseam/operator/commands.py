"""The subcommands of the operators' command; each returns a result to print."""

from __future__ import annotations

import difflib
from typing import TYPE_CHECKING, Any, NamedTuple

from rosemaryseam.common.catalogue import load_catalogue
from rosemaryseam.common.errors import (
    CatalogueError,
    PeerError,
    ResultCode,
)
from rosemaryseam.common.revisions import (
    encode_revision,
    read_revision,
    write_revision,
)
from rosemaryseam.common.settings import read_text

if TYPE_CHECKING:
    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.keyvalue import KeyValueStore
    from rosemaryseam.common.revisions import Revision
    from rosemaryseam.operator.hosts import HostClient
    from rosemaryseam.operator.settings import OperatorSettings


class Result(NamedTuple):
    """The result of a subcommand, as text lines for people and data for programs."""

    code: ResultCode
    lines: tuple[str, ...]
    data: Any


class Commands:
    """Runs the subcommands that need the key-value service or the hosts.

    :param cfg: settings of the command
    :param store: the platform's key-value service
    :param hosts: client of the hosts' admin ports
    :param clock: source of the time recorded in the history
    """

    def __init__(
        self,
        cfg: OperatorSettings,
        store: KeyValueStore,
        hosts: HostClient,
        clock: Clock,
    ) -> None:
        self._cfg = cfg
        self._store = store
        self._hosts = hosts
        self._clock = clock

    def show(self) -> Result:
        """Show the stored catalogue."""
        revision = self._read_current()
        data = {'revision': revision.revision, 'text': revision.text}
        lines = (f'# revision {revision.revision}', *revision.text.splitlines())
        return Result(ResultCode.OK, lines, data)

    def history(self) -> Result:
        """Show the most recent changes, the newest first."""
        changes = list(reversed(self._read_current().history))
        lines = tuple(
            f'{change.revision}  {change.at}  {change.author}  {change.change_id}'
            for change in changes
        )
        return Result(ResultCode.OK, lines, [change._asdict() for change in changes])

    def diff(self, path: str) -> Result:
        """Show how a file differs from the stored catalogue.

        :param path: path of the YAML file
        """
        text = read_catalogue_file(path)
        stored = read_revision(self._store)
        before = stored[0].text if stored is not None else ''
        lines = tuple(_diff(before, text))
        return Result(ResultCode.OK, lines, list(lines))

    def apply(self, path: str, base: int | None) -> Result:
        """Store a file as the next revision and send it to the hosts.

        :param path: path of the YAML file
        :param base: the revision on which the change is based, ``None`` for the latest
        """
        text = read_catalogue_file(path)
        stored = read_revision(self._store)
        before = stored[0].text if stored is not None else ''
        if base is None:
            base = stored[0].revision if stored is not None else 0
        revision = write_revision(
            self._store, self._clock, text, base, self._cfg.author
        )
        return self._distribute(revision, tuple(_diff(before, text)))

    def status(self) -> Result:
        """Show the state, partitions and catalogue revision of each host."""
        lines = []
        data: dict[str, Any] = {}
        code = ResultCode.OK
        for host, dump in self._hosts.dump_all().items():
            if isinstance(dump, PeerError):
                code = ResultCode.HOST_UNREACHABLE
                data[host] = {'error': dump.message}
                lines.append(f'{host}: {dump.message}')
                continue
            summary = _summarize(dump)
            data[host] = summary
            lines.append(
                f'{host}: zone {summary["zone"]}, {summary["state"]}, catalogue '
                f'revision {summary["revision"]}, {summary["requests"]} requests, '
                f'dispatches {", ".join(summary["partitions"]) or "nothing"}'
            )
        return Result(code, tuple(lines), data)

    def dump(self, host: str) -> Result:
        """Show the complete state of a host's process.

        :param host: name of the host in the settings
        """
        return Result(ResultCode.OK, (), self._hosts.dump(host))

    def _read_current(self) -> Revision:
        stored = read_revision(self._store)
        if stored is None:
            message = 'there is no catalogue yet'
            raise CatalogueError(message, ResultCode.CATALOGUE_ABSENT)
        return stored[0]

    def _distribute(self, revision: Revision, changes: tuple[str, ...]) -> Result:
        """Send a stored revision to the hosts; each passes it to the others."""
        answers = self._hosts.push_revision(encode_revision(revision))
        lines = [*changes]
        confirmed = 0
        for host, answer in answers.items():
            if isinstance(answer, PeerError):
                lines.append(f'{host}: {answer.message}')
            elif answer >= revision.revision:
                confirmed += 1
            else:
                lines.append(f'{host}: holds revision {answer} and refused the change')
        data = {
            'revision': revision.revision,
            'change_id': revision.change_id,
            'hosts': {
                host: answer.message if isinstance(answer, PeerError) else answer
                for host, answer in answers.items()
            },
        }
        if not confirmed:
            lines.append(
                f'revision {revision.revision} is stored, but no host confirmed it; '
                'the hosts read it when they reach the key-value service'
            )
            return Result(ResultCode.CATALOGUE_NOT_DISTRIBUTED, tuple(lines), data)
        lines.append(
            f'revision {revision.revision} accepted, in force on '
            f'{confirmed} of {len(answers)} hosts'
        )
        return Result(ResultCode.OK, tuple(lines), data)


def check_catalogue(path: str) -> Result:
    """Check a catalogue file.

    :param path: path of the YAML file
    """
    catalogue = load_catalogue(read_text(path))
    counts = {name: len(getattr(catalogue, name)) for name in catalogue._fields}
    text = ', '.join(f'{count} {name}' for name, count in counts.items())
    return Result(ResultCode.OK, (f'{path}: ok: {text}',), counts)


def read_catalogue_file(path: str) -> str:
    """Return the text of a catalogue file after checking it.

    :param path: path of the YAML file
    :raises CatalogueError: the catalogue is invalid
    :raises SettingsError: the file cannot be read
    """
    text = read_text(path)
    load_catalogue(text)
    return text


def _diff(before: str, after: str) -> list[str]:
    lines = difflib.unified_diff(
        before.splitlines(), after.splitlines(), 'stored', 'new', lineterm=''
    )
    return list(lines)


def _summarize(dump: dict[str, Any]) -> dict[str, Any]:
    return {
        'zone': dump['zone'],
        'state': dump['not_ready'] or 'ready',
        'revision': dump['catalogue']['revision'],
        'requests': dump['requests'],
        'partitions': sorted(dump['dispatcher']),
    }
