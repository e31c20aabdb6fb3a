package vetchpost.decision;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import vetchpost.decision.Balancer.ListKind;
import vetchpost.decision.Balancer.ServerEntry;
import vetchpost.decision.Balancer.ServerState;

/** What a list costs the module: new to it, the same again, the same in another order, and ten changes. */
@State(Scope.Thread)
@BenchmarkMode(Mode.SingleShotTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 5)
@Measurement(iterations = 15)
@Fork(3)
public class ListBenchmark {
    @Param({"1000", "10000", "20000"})
    private int servers;

    private BalancerHarness harness;
    private List<ServerEntry> list;
    private List<ServerEntry> shuffled;
    private List<ServerEntry> changes;

    /** Before each list: a module that knows the same servers, and one that knows none. */
    @Setup(Level.Invocation)
    public void setUp() {
        list = BalancerHarness.list(servers);
        shuffled = new ArrayList<>(list);
        Collections.shuffle(shuffled, new Random(1));
        changes = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            ServerEntry e = list.get(i * servers / 10);
            changes.add(new ServerEntry(e.id(), e.zone(), e.cell(), ServerState.DRAINING, 1, 0));
        }
        harness = new BalancerHarness(servers, 0);
        harness.applyList(ListKind.FULL, list);
    }

    /** To a module that knew nothing. */
    @Benchmark
    public Balancer cold() {
        BalancerHarness fresh = new BalancerHarness(servers, 0);
        fresh.applyList(ListKind.FULL, list);
        return fresh.balancer;
    }

    /** The same list once more. */
    @Benchmark
    public void again() {
        harness.applyList(ListKind.FULL, list);
    }

    /** The same servers in another order. */
    @Benchmark
    public void inAnotherOrder() {
        harness.applyList(ListKind.FULL, shuffled);
    }

    /** Ten of them drain. */
    @Benchmark
    public void tenDrain() {
        harness.applyList(ListKind.CHANGES, changes);
    }
}
