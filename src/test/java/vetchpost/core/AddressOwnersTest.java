package vetchpost.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import vetchpost.decision.Balancer.ServerState;

/** Two servers can't share an address. */
class AddressOwnersTest {
    private final AddressOwners addressOwners = new AddressOwners();

    private static ServerList.Target target(String id, int host, ServerState state, long bootMs) {
        return new ServerList.Target(id, new InetSocketAddress("10.1.0." + host, 1), "a", 0, state, 1, bootMs);
    }

    private String resolveConflicts(boolean all, ServerList.Target... targets) {
        StringBuilder said = new StringBuilder();
        addressOwners
                .resolveConflicts(new ServerList(1, all, List.of(targets)))
                .targets()
                .forEach(t -> said.append(t.id()).append(' ').append(t.state()).append(' '));
        return said.toString().trim();
    }

    @Test
    void marksTheFormerOwnerOfAnAddressAsGone() {
        resolveConflicts(true, target("old", 1, ServerState.READY, 0), target("other", 2, ServerState.READY, 0));
        assertEquals("new READY old GONE", resolveConflicts(false, target("new", 1, ServerState.READY, 5)));
        assertEquals("old GONE", resolveConflicts(false, target("old", 1, ServerState.READY, 0)), "told late");
        assertEquals("old GONE", resolveConflicts(false, target("old", 1, ServerState.GONE, 0)));
        assertEquals("new DRAINING", resolveConflicts(false, target("new", 1, ServerState.DRAINING, 5)));
    }

    @Test
    void prefersTheServerWithTheLaterStartInOneList() {
        assertEquals(
                "new READY old GONE",
                resolveConflicts(true, target("new", 1, ServerState.READY, 5), target("old", 1, ServerState.READY, 0)));
        assertEquals(
                "old READY new READY old GONE",
                resolveConflicts(true, target("old", 1, ServerState.READY, 0), target("new", 1, ServerState.READY, 5)));
    }

    @Test
    void releasesTheAddressOfAServerThatMoves() {
        resolveConflicts(true, target("a", 1, ServerState.READY, 7));
        assertEquals("a READY", resolveConflicts(false, target("a", 2, ServerState.READY, 7)));
        assertEquals("b READY", resolveConflicts(false, target("b", 1, ServerState.READY, 0)));
        assertEquals("a GONE", resolveConflicts(false, target("a", 2, ServerState.GONE, 7)));
        assertEquals("c READY", resolveConflicts(false, target("c", 2, ServerState.READY, 0)));
    }
}
