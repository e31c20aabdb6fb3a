package vetchpost.sources;

/**
 * How servers are checked. Times are in microseconds.
 *
 * @param path path of the request; empty to only open a connection
 * @param host value of the Host header
 * @param minStatus lowest healthy status
 * @param maxStatus highest healthy status
 * @param intervalUs how often a server without other traffic is checked
 * @param timeoutUs how long a check may take
 * @param rise consecutive passes after which an ejected server returns
 * @param fall consecutive failures after which a server is ejected
 * @param budgetPerS checks this node makes per second, however many servers there are
 * @param checkersPerServer nodes that check a server regularly, however many nodes there are
 * @param nodeCount number of nodes in the group
 * @param nodeNumber this node's number, from 0
 * @param maxEjectedFraction fraction of the fleet, 0 to 1, that checks may eject
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
