"""Manages the rank groups that this daemon belongs to."""

from mintsaddle.daemon import DaemonNode
from mintsaddle.endpoint._coordinator import Coordinator
from mintsaddle.endpoint._ranks import RankHost
from mintsaddle.fleet import Group
from mintsaddle.transport import write_stamp
from mintsaddle.transport.proto import peer_pb2 as pb


class GroupRunner:
    """Runs a rank host and a coordinator for each group of this daemon."""

    def __init__(self, node: DaemonNode) -> None:
        self._node = node
        self._hosts: dict[str, RankHost] = {}

    def apply_configuration(self) -> None:
        """Join new groups that list this daemon and leave former ones."""
        fleet = self._node.configuration.fleet
        groups = fleet.groups if fleet else {}
        for name, host in tuple(self._hosts.items()):
            group = groups.get(name)
            if group is not None and group.ranks == host.group.ranks:
                host.update_group(group)
            else:
                host.retire()
                del self._hosts[name]
        for group in groups.values():
            if self._node.settings.vm in group.ranks and group.name not in self._hosts:
                self._join(group)

    def _join(self, group: Group) -> None:
        host = RankHost(self._node, group)
        self._hosts[group.name] = host
        self._node.spawn(f"group-{group.name}", Coordinator(self._node, host).run)

    async def handle_order(self, message: pb.GroupOrder) -> pb.GroupReply:
        """Forward an order to the rank host of its group."""
        host = self._hosts.get(message.group)
        if host is None:
            return pb.GroupReply(stamp=write_stamp(self._node.stamp()))
        return await host.handle_order(message)

    def add_to_status(self, status: pb.Status) -> None:
        """Add the groups to a status message."""
        for host in self._hosts.values():
            host.add_to_status(status)
