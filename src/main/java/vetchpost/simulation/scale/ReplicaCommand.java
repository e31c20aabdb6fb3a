package vetchpost.simulation.scale;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import vetchpost.changes.RouteConfiguration;
import vetchpost.discovery.ServerListParser;
import vetchpost.handover.SharedSecret;
import vetchpost.net.Network;
import vetchpost.replication.Replica;
import vetchpost.replication.net.ReplicaClient;
import vetchpost.store.Version;

/**
 * The command {@code scale replica}: one process of {@code scale real}; says each version as it comes into
 * force.
 */
@Command(name = "replica", hidden = true, description = "A process of scale real; ends with its standard " + "input.")
final class ReplicaCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--publisher", required = true)
    private String publisher;

    @Option(names = "--secret-file", required = true)
    private Path secretFile;

    @Option(names = "--name", required = true)
    private String name;

    @Override
    public Integer call() throws Exception {
        SharedSecret secret;
        InetSocketAddress address;
        try {
            secret = SharedSecret.read(secretFile);
            address = ServerListParser.address(publisher);
        } catch (IOException | IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage());
        }
        PrintStream out = System.out;
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        RouteConfiguration empty = RouteConfiguration.empty(ConfigurationGenerator.settings());
        loop.submit(() -> new ReplicaClient(
                                loop,
                                Network.SYSTEM,
                                secret,
                                new SecureRandom(),
                                name,
                                List.of(address),
                                new Replica(name, empty.store(), empty, false, (store, index) -> {
                                    out.println(Version.number(store.version()) + " " + System.nanoTime() / 1_000);
                                    out.flush();
                                }))
                        .start())
                .get();
        while (System.in.read() >= 0) {
            continue;
        }
        return 0;
    }
}
