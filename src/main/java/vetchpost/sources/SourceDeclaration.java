package vetchpost.sources;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;

/**
 * A source as the operator's file declares it. Times are in microseconds.
 *
 * @param name for messages
 * @param location the file's path, or the name to look up; empty for the operator's file itself
 * @param port port of the servers at a name's addresses
 * @param permissions what its reports may do
 * @param intervalUs how often it is read; for names, the longest interval between queries
 * @param retentionUs how long a server stays that an answer leaves out, since it was last named; 0 where a source
 *     always names all
 * @param staleAfterUs how long its last report stays in use while it fails, or reports no servers at all
 * @param inlineServers the servers that the operator's file itself names; else empty
 * @param resolvers the name servers to query; empty for the system's
 */
public record SourceDeclaration(
        String name,
        Kind kind,
        String location,
        int port,
        Set<Permission> permissions,
        long intervalUs,
        long retentionUs,
        long staleAfterUs,
        List<ReportedServer> inlineServers,
        List<InetSocketAddress> resolvers) {

    /** The type of a source. */
    public enum Kind {
        /** The operator's file itself. */
        ITSELF,
        /** Another file, in JSON or TOML. */
        FILE,
        /** The addresses of a DNS name, IPv4 or IPv6. */
        DNS,
        /** The SRV records of a DNS name (RFC 2782). */
        SRV
    }

    /** What a source's reports may do. */
    public enum Permission {
        /** Add a server to the fleet. */
        ADD,
        /** Drain a server. */
        DRAIN,
        /** Remove a server that other sources name. */
        REMOVE
    }
}
