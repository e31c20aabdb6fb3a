package vetchpost.daemon;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.security.SecureRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import vetchpost.decision.Balancer.Settings;
import vetchpost.handover.SharedSecret;
import vetchpost.net.Network;
import vetchpost.recovery.Recovery;
import vetchpost.recovery.RecoverySettings;
import vetchpost.state.Snapshot;
import vetchpost.state.disk.StateFile;

/** Puts together what a node knew before its start; loaded only where the operator's file asks for it. */
final class RecoveryLoader {
    private static final Logger LOG = System.getLogger(RecoveryLoader.class.getName());

    private RecoveryLoader() {}

    /**
     * Throws IllegalArgumentException if the secret can't be had. A snapshot that can't is only passed over.
     */
    static Recovery load(RecoverySettings settings, Settings platform, EventLoop loop, EventLoopGroup group) {
        SharedSecret secret = null;
        if (settings.secretFile() != null) {
            try {
                secret = SharedSecret.read(settings.secretFile());
            } catch (IOException e) {
                throw new IllegalArgumentException("the secret for handovers can't be read: " + e.getMessage(), e);
            }
        }
        StateFile file = settings.file() == null ? null : new StateFile(settings.file());
        Snapshot old = file == null
                ? null
                : file.read(
                        System.currentTimeMillis(),
                        line -> LOG.log(Level.WARNING, "a snapshot can''t be used: {0}", line));
        ExecutorService writer = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "state");
            thread.setDaemon(true);
            return thread;
        });
        return new Recovery(
                settings,
                platform,
                loop,
                group,
                Network.SYSTEM,
                old,
                secret,
                new SecureRandom(),
                file == null ? null : file::write,
                writer);
    }
}
