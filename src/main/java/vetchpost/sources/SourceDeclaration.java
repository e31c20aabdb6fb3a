package vetchpost.sources;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;

/**
 * A source as the operator's file declares it.
 *
 * @param name for messages
 * @param where the file's path, or the name that is looked up; empty for the operator's file itself
 * @param port of the servers that a name's addresses stand for
 * @param may what its word can do
 * @param everyUs how often it is asked; for names, at the most
 * @param keepUs how long a server stays that an answer leaves out, since it was last named; 0 where a source
 *     always names all
 * @param staleUs how long what it said last holds while it says nothing, or nothing at all is left
 * @param own what the operator's file itself names; else empty
 * @param resolvers who is asked for names; empty for the system's
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

    /** What a source is. */
    public enum Kind {
        /** The operator's file itself. */
        ITSELF,
        /** Another file, in JSON or TOML. */
        FILE,
        /** A name's addresses, of both families. */
        DNS,
        /** A name's servers (RFC 2782). */
        SRV
    }

    /** What a source's word can do. */
    public enum Permission {
        /** Bring a server into the fleet. */
        ADD,
        /** Have one take no new requests. */
        DRAIN,
        /** Take one out that others name. */
        REMOVE
    }
}
