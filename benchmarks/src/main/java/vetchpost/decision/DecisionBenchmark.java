package vetchpost.decision;

import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import vetchpost.decision.Balancer.ListKind;

/** What one request costs the module, with the ends of its attempts, by the size of the fleet. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class DecisionBenchmark {
    /** The part of servers that fail whatever they are sent, in hundredths: most of them end up ejected. */
    @Param({"0", "2", "20"})
    private int failing;

    @Param({"12", "100", "1000", "10000", "20000"})
    private int servers;

    private BalancerHarness harness;

    /** A fleet that has been asked for a while. */
    @Setup
    public void setUp() {
        harness = new BalancerHarness(servers, servers * failing / 100);
        harness.applyList(ListKind.FULL, BalancerHarness.list(servers));
        for (int i = 0; i < 20 * servers; i++) {
            harness.runRequest();
        }
    }

    /** One request. */
    @Benchmark
    public int request() {
        return harness.runRequest();
    }
}
