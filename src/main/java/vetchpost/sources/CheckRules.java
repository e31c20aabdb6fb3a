package vetchpost.sources;

/**
 * How servers are checked. Times are in microseconds.
 *
 * @param path what is asked for; empty to open a connection only
 * @param host the host that is named
 * @param least lowest status that is well
 * @param most highest status that is well
 * @param everyUs how often a server is checked that nothing else is heard of
 * @param withinUs how long a check may take
 * @param rise passed in a row after which a server is back
 * @param fall failed in a row after which it is out
 * @param budgetPerS checks of this node in a second, however many servers there are
 * @param watchers nodes that check a server regularly, however many nodes there are
 * @param nodes of the group
 * @param number of this one, from 0
 * @param mostOut share of the fleet that checks may take out
 */
public record CheckRules(
        String path,
        String host,
        int minStatus,
        int maxStatus,
        long intervalUs,
        long timeoutUs,
        int rise,
        int fall,
        double budgetPerS,
        int checkersPerServer,
        int nodeCount,
        int nodeNumber,
        double maxEjectedFraction) {}
