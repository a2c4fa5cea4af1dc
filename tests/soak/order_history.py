"""Checks of who gives orders: at any time, one gateway is the holder of a zone's order domain."""
import collections

THAW_S = 0.3         # What was sent before a pause or an outage of a link may arrive this long after its end.
LEASE_S = 3.0
DISTURBANCE_S = 4.0  # A gateway counts as disturbed until this long after a fault.

Order = collections.namedtuple("Order", "arrived_at holder fence server started_at_ms zone")
# The end is infinite while the fault lasts. The kind is "pause", "kill", "stop" (from SIGTERM to the end of the process),
# "restart" (from the end of a stopped process to its next start), "link" or, for the store, "store".
Disturbance = collections.namedtuple("Disturbance", "kind gateway start end")


class OrderHistory:
    """All orders that reached a server, accepted or refused, and the faults of the gateways that sent them."""

    def __init__(self):
        self.orders, self.disturbances, self.link_releases = [], [], []

    def begin(self, kind, gateway, now):
        """Records the start of a fault. Returns a function that records its end."""
        position = len(self.disturbances)
        self.disturbances.append(Disturbance(kind, gateway, now, float("inf")))

        def end(at):
            self.disturbances[position] = self.disturbances[position]._replace(end=at)
        return end

    def violations(self):
        orders = sorted(self.orders)
        return find_shared_fences(orders) + self.find_lower_fences(orders) + self.find_turns(orders)

    def is_disturbed(self, names, at, window_s):
        """Whether one of the gateways or the store was disturbed at a time, or in the window before."""
        return any(d.gateway in names and d.start <= at <= d.end + window_s for d in self.disturbances)

    def is_late(self, order):
        """Whether an order may have been sent before a pause of its sender or an outage of the server's link."""
        ends = [d.end for d in self.disturbances if d.kind == "pause" and d.gateway == order.holder]
        ends += [released_at for server, released_at in self.link_releases if server == order.server]
        return any(0 <= order.arrived_at - end <= THAW_S for end in ends)

    def find_lower_fences(self, orders):
        """Finds orders with a lower fence than one that a server of the zone has already received."""
        highest, found = {}, []
        for order in orders:
            top = highest.setdefault(order.zone, order)
            if order.fence >= top.fence:
                highest[order.zone] = order
            elif not self.is_late(order):
                found.append(f"{order.holder} gave an order to {order.server} with fence {order.fence} "
                             f"{order.arrived_at - top.arrived_at:.2f} s after one of {top.holder} with fence {top.fence}")
        return found

    def find_turns(self, orders):
        """Finds two gateways that gave orders to one server within a lease."""
        recent, found = collections.defaultdict(list), {}
        for order in orders:
            recent[order.server] = [o for o in recent[order.server] if order.arrived_at - o.arrived_at < LEASE_S]
            for earlier in recent[order.server]:
                if (earlier.holder != order.holder and not self.is_excused(earlier) and not self.is_excused(order)
                        and not self.is_handover(earlier, order)):
                    key = (order.holder, order.fence, order.server, earlier.holder, earlier.fence)
                    found[key] = min(found.get(key, LEASE_S), order.arrived_at - earlier.arrived_at)
            recent[order.server].append(order)
        return [f"{holder} (fence {fence}) gave an order to {server} {gap:.2f} s after {other} (fence {other_fence})"
                for (holder, fence, server, other, other_fence), gap in found.items()]

    def is_excused(self, order):
        return self.is_late(order) or any(
            d.kind != "stop" and d.gateway == order.holder and d.start <= order.arrived_at < d.end + DISTURBANCE_S
            for d in self.disturbances)

    def is_handover(self, earlier, order):
        """Whether the earlier order's sender was told to stop and gave no order after the later one."""
        return any(d.kind == "stop" and d.gateway == earlier.holder and earlier.arrived_at <= d.end
                   and d.start <= order.arrived_at
                   and not any(o.holder == d.gateway and order.arrived_at < o.arrived_at <= d.end for o in self.orders)
                   for d in self.disturbances)


def find_shared_fences(orders):
    """Finds two gateways that gave orders in one zone with the same fence."""
    holders, found = {}, []
    for order in orders:
        other = holders.setdefault((order.zone, order.fence), order.holder)
        if other != order.holder:
            found.append(f"{order.holder} and {other} gave orders in {order.zone} with fence {order.fence}")
    return found
