package vetchpost.simulation;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import vetchpost.core.ClientReply;
import vetchpost.core.ClientRequest;
import vetchpost.core.Failure;
import vetchpost.core.ServerList;
import vetchpost.core.ServerResponse;
import vetchpost.core.ServerTransport;
import vetchpost.decision.Balancer;
import vetchpost.decision.Balancer.Actions;
import vetchpost.decision.Balancer.ListKind;
import vetchpost.decision.Balancer.Outcome;
import vetchpost.decision.Balancer.Request;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.ServerEntry;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.decision.Balancer.Settings;
import vetchpost.decision.ServiceQBalancer;
import vetchpost.node.NodeHooks;
import vetchpost.simulation.check.Violation.Rule;
import vetchpost.simulation.net.SimLoop;
import vetchpost.simulation.world.NodeProcess;

/** Faults injected into nodes, such as a careless change could bring; the checker must find each of them. */
enum InjectedFaults implements NodeProcess.Setup {
    /** A reset attempt is treated as never run. */
    RESENT_AFTER_RESET(Rule.TWICE) {
        @Override
        Balancer wrapBalancer(Settings settings, Balancer real, Actions actions, SimLoop loop) {
            return new DelegatingBalancer(real) {
                @Override
                public void onOutcome(long now, Outcome outcome) {
                    Result reported = outcome.result() == Result.RESET ? Result.CONNECT_FAILED : outcome.result();
                    super.onOutcome(
                            now,
                            new Outcome(
                                    outcome.requestId(),
                                    outcome.attempt(),
                                    reported,
                                    outcome.latencyUs(),
                                    outcome.requestEnded(),
                                    outcome.report(),
                                    outcome.loopDelayUs()));
                }
            };
        }
    },
    /** The transport sends one request in a hundred twice. */
    SENT_TWICE_BY_ITS_TRANSPORT(Rule.TWICE) {
        @Override
        public NodeHooks hooks(SimLoop loop) {
            return new NodeHooks() {
                @Override
                public ServerTransport wrapTransport(ServerTransport real) {
                    return new ResendingTransport(real);
                }
            };
        }
    },
    /** All servers are treated as one rack. */
    REPEATED_OUTSIDE_ITS_RACK(Rule.TWICE) {
        @Override
        Balancer wrapBalancer(Settings settings, Balancer real, Actions actions, SimLoop loop) {
            return new DelegatingBalancer(real) {
                @Override
                public void onServers(long now, ListKind kind, List<ServerEntry> entries) {
                    super.onServers(
                            now,
                            kind,
                            entries.stream()
                                    .map(e -> new ServerEntry(
                                            e.id(), e.zone(), 0, e.state(), e.weight(), e.startedAtUs()))
                                    .toList());
                }
            };
        }
    },
    /** A draining server is treated as ready. */
    SENT_AFTER_A_DRAIN(Rule.DRAIN) {
        @Override
        Balancer wrapBalancer(Settings settings, Balancer real, Actions actions, SimLoop loop) {
            return new DelegatingBalancer(real) {
                @Override
                public void onServers(long now, ListKind kind, List<ServerEntry> entries) {
                    super.onServers(
                            now,
                            kind,
                            entries.stream()
                                    .map(e -> new ServerEntry(
                                            e.id(),
                                            e.zone(),
                                            e.cell(),
                                            e.state() == ServerState.DRAINING ? ServerState.READY : e.state(),
                                            e.weight(),
                                            e.startedAtUs()))
                                    .toList());
                }
            };
        }
    },
    /** A drain notice reaches the balancer 700 ms late, after the grace period and its tolerance. */
    DRAIN_HEARD_LATE(Rule.DRAIN) {
        @Override
        Balancer wrapBalancer(Settings settings, Balancer real, Actions actions, SimLoop loop) {
            return new DelegatingBalancer(real) {
                @Override
                public void onServers(long now, ListKind kind, List<ServerEntry> entries) {
                    if (kind == ListKind.CHANGES) {
                        loop.schedule(() -> super.onServers(now + 700_000, kind, entries), 700, TimeUnit.MILLISECONDS);
                    } else {
                        super.onServers(now, kind, entries);
                    }
                }
            };
        }
    },
    /** A failed request is rejected instead, so that its client retries it. */
    REFUSED_AFTER_IT_MAY_HAVE_RUN(Rule.TWICE) {
        @Override
        Actions wrapActions(Actions real) {
            return new DelegatingActions(real) {
                @Override
                public void fail(long requestId) {
                    reject(requestId, 0);
                }
            };
        }
    },
    /** Pages go to the server that started last, as with a balancer that prefers the least loaded server. */
    COLD_SERVER_FLOODED(Rule.COLD) {
        @Override
        public NodeHooks hooks(SimLoop loop) {
            return new ColdServerFlooding();
        }
    },
    /** One response in fifty is replaced by another request's response. */
    ANSWERED_WITH_ANOTHERS(Rule.LOST) {
        @Override
        public NodeHooks hooks(SimLoop loop) {
            return new NodeHooks() {
                @Override
                public ServerTransport wrapTransport(ServerTransport real) {
                    return new SwappingTransport(real);
                }
            };
        }
    },
    /** A failure is not answered, although the guard takes it as answered. */
    LEFT_UNANSWERED(Rule.LOST) {
        @Override
        public NodeHooks hooks(SimLoop loop) {
            return new NodeHooks() {
                @Override
                public ClientReply wrapReply(ClientReply real) {
                    return new DelegatingReply(real) {
                        @Override
                        public void failed(Failure why) {
                            // Dropped: the client gets no answer.
                        }
                    };
                }
            };
        }
    },
    /** Rejections are written twice. */
    ANSWERED_TWICE(Rule.LOST) {
        @Override
        public void connectionOpened(Channel channel) {
            channel.pipeline().addFirst(new ChannelOutboundHandlerAdapter() {
                @Override
                public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
                    if (message instanceof ByteBuf bytes
                            && bytes.readableBytes() > 12
                            && bytes.toString(bytes.readerIndex(), 12, StandardCharsets.US_ASCII)
                                    .equals("HTTP/1.1 503")) {
                        ctx.write(bytes.copy());
                    }
                    ctx.write(message, promise);
                }
            });
        }
    },
    /** One buffer in a hundred is never released. */
    BUFFER_KEPT(Rule.LEAK) {
        private int read;

        @Override
        public void connectionOpened(Channel channel) {
            channel.pipeline().addFirst(new ChannelInboundHandlerAdapter() {
                @Override
                public void channelRead(ChannelHandlerContext ctx, Object message) {
                    if (++read % 100 == 0) {
                        ReferenceCountUtil.retain(message);
                    }
                    ctx.fireChannelRead(message);
                }
            });
        }
    },
    /** A periodic timer is never cancelled. */
    TIMER_LEFT(Rule.LEAK) {
        @Override
        Balancer wrapBalancer(Settings settings, Balancer real, Actions actions, SimLoop loop) {
            loop.scheduleAtFixedRate(() -> {}, 1, 1, TimeUnit.SECONDS);
            return real;
        }
    },
    /** The balancer throws an exception. */
    EXCEPTION_LOGGED(Rule.FAULT) {
        @Override
        Balancer wrapBalancer(Settings settings, Balancer real, Actions actions, SimLoop loop) {
            return new DelegatingBalancer(real) {
                @Override
                public void onOutcome(long now, Outcome outcome) {
                    if (outcome.result() == Result.ERROR) {
                        throw new IllegalStateException("injected");
                    }
                    super.onOutcome(now, outcome);
                }
            };
        }
    };

    final Rule rule;

    InjectedFaults(Rule rule) {
        this.rule = rule;
    }

    Balancer wrapBalancer(Settings settings, Balancer real, Actions actions, SimLoop loop) {
        return real;
    }

    Actions wrapActions(Actions real) {
        return real;
    }

    @Override
    public NodeHooks hooks(SimLoop loop) {
        return new NodeHooks() {
            @Override
            public Balancer createBalancer(Settings settings, long seed, Actions real) {
                Actions wrapped = wrapActions(real);
                return wrapBalancer(settings, new ServiceQBalancer(settings, seed, wrapped), wrapped, loop);
            }
        };
    }

    /** Delegates all calls to the balancer. */
    private static class DelegatingBalancer implements Balancer {
        private final Balancer real;

        DelegatingBalancer(Balancer real) {
            this.real = real;
        }

        @Override
        public void onServers(long now, ListKind kind, List<ServerEntry> entries) {
            real.onServers(now, kind, entries);
        }

        @Override
        public void onListFailed(long now) {
            real.onListFailed(now);
        }

        @Override
        public void onRequest(long now, Request request) {
            real.onRequest(now, request);
        }

        @Override
        public void onOutcome(long now, Outcome outcome) {
            real.onOutcome(now, outcome);
        }

        @Override
        public void onFirstByte(long now, long requestId, int attempt) {
            real.onFirstByte(now, requestId, attempt);
        }

        @Override
        public void onClientDisconnected(long now, long requestId) {
            real.onClientDisconnected(now, requestId);
        }

        @Override
        public void onProbe(long now, String serverId, Result result, long latencyUs, double[] report) {
            real.onProbe(now, serverId, result, latencyUs, report);
        }

        @Override
        public void onWake(long now) {
            real.onWake(now);
        }
    }

    /** Sends safe requests to the server that started last, for four seconds. */
    private static final class ColdServerFlooding implements NodeHooks {
        private static final long FOR_US = 4_000_000;
        private static final int SAFE = 0;

        private final Set<Long> pages = new HashSet<>();
        private String coldest;
        private long startedUs;
        private long nowUs;

        @Override
        public Balancer createBalancer(Settings settings, long seed, Actions real) {
            return new DelegatingBalancer(new ServiceQBalancer(settings, seed, new DelegatingActions(real) {
                @Override
                public void send(long requestId, String serverId, long untilUs) {
                    boolean isRedirected = coldest != null && pages.contains(requestId) && nowUs < startedUs + FOR_US;
                    super.send(requestId, isRedirected ? coldest : serverId, untilUs);
                }
            })) {
                @Override
                public void onServers(long now, ListKind kind, List<ServerEntry> entries) {
                    for (ServerEntry e : entries) {
                        if (e.id().equals(coldest) && e.state() != ServerState.READY) {
                            coldest = null;
                        } else if (e.state() == ServerState.READY && e.startedAtUs() > startedUs) {
                            coldest = e.id();
                            startedUs = e.startedAtUs();
                        }
                    }
                    super.onServers(now, kind, entries);
                }

                @Override
                public void onRequest(long now, Request request) {
                    nowUs = now;
                    if (request.classIndex() == SAFE) {
                        pages.add(request.id());
                    }
                    super.onRequest(now, request);
                }
            };
        }
    }

    /** Delegates all calls to the node. */
    private static class DelegatingActions implements Actions {
        private final Actions real;

        DelegatingActions(Actions real) {
            this.real = real;
        }

        @Override
        public void send(long requestId, String serverId, long untilUs) {
            real.send(requestId, serverId, untilUs);
        }

        @Override
        public void cancel(long requestId, int attempt) {
            real.cancel(requestId, attempt);
        }

        @Override
        public void reject(long requestId, long retryAfterUs) {
            real.reject(requestId, retryAfterUs);
        }

        @Override
        public void fail(long requestId) {
            real.fail(requestId);
        }

        @Override
        public void wakeAt(long atUs) {
            real.wakeAt(atUs);
        }

        @Override
        public void probe(String serverId) {
            real.probe(serverId);
        }

        @Override
        public void subscribe() {
            real.subscribe();
        }

        @Override
        public void log(String line) {
            real.log(line);
        }
    }

    /** Delegates all calls to the client. */
    private static class DelegatingReply implements ClientReply {
        private final ClientReply real;

        DelegatingReply(ClientReply real) {
            this.real = real;
        }

        @Override
        public void served(ServerResponse answer) {
            real.served(answer);
        }

        @Override
        public void rejected(long retryAfterUs) {
            real.rejected(retryAfterUs);
        }

        @Override
        public void failed(Failure why) {
            real.failed(why);
        }

        @Override
        public void onDisconnect(Runnable action) {
            real.onDisconnect(action);
        }
    }

    /** Delegates all calls to the real transport. */
    private static class DelegatingTransport implements ServerTransport {
        private final ServerTransport real;

        DelegatingTransport(ServerTransport real) {
            this.real = real;
        }

        @Override
        public void update(ServerList list) {
            real.update(list);
        }

        @Override
        public Attempt send(String serverId, OutgoingRequest outgoing) {
            return real.send(serverId, outgoing);
        }

        @Override
        public Attempt probe(String serverId, AttemptListener report) {
            return real.probe(serverId, report);
        }

        @Override
        public void close() {
            real.close();
        }
    }

    /** An outgoing request with another listener for its end. */
    private record ObservedRequest(ServerTransport.OutgoingRequest real, ServerTransport.AttemptListener listener)
            implements ServerTransport.OutgoingRequest {
        @Override
        public ClientRequest request() {
            return real.request();
        }

        @Override
        public long responseTimeoutUs() {
            return real.responseTimeoutUs();
        }

        @Override
        public void onEnded(Result result, ServerResponse answer) {
            listener.onEnded(result, answer);
        }
    }

    /** Sends some requests twice and reports only the first attempt. */
    private static final class ResendingTransport extends DelegatingTransport {
        private int sent;

        ResendingTransport(ServerTransport real) {
            super(real);
        }

        @Override
        public Attempt send(String serverId, OutgoingRequest outgoing) {
            Attempt attempt = super.send(serverId, outgoing);
            if (++sent % 100 == 0) {
                super.send(serverId, new ObservedRequest(outgoing, (result, answer) -> {}));
            }
            return attempt;
        }
    }

    /** Replaces some responses by an earlier one. */
    private static final class SwappingTransport extends DelegatingTransport {
        private final List<ServerResponse> last = new ArrayList<>();

        SwappingTransport(ServerTransport real) {
            super(real);
        }

        @Override
        public Attempt send(String serverId, OutgoingRequest outgoing) {
            return super.send(serverId, new ObservedRequest(outgoing, (result, answer) -> {
                if (result == Result.OK) {
                    last.add(answer);
                }
                outgoing.onEnded(
                        result, result == Result.OK && last.size() % 50 == 0 ? last.get(last.size() - 2) : answer);
            }));
        }
    }
}
