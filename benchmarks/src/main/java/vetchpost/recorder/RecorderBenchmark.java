package vetchpost.recorder;

import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import vetchpost.core.ClientRequest;
import vetchpost.core.Headers;
import vetchpost.core.RequestRecorder.Completion;
import vetchpost.decision.Balancer.Candidate;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.UnservedReason;

/** All that the recorder is told of one request, served or refused, with a hundred in hand. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(
        value = 1,
        jvmArgsAppend = {"-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC"})
public class RecorderBenchmark {
    private static final int IN_HAND = 100;
    private static final Headers NO_FIELDS = new Headers() {
        @Override
        public String get(String name) {
            return null;
        }

        @Override
        public void forEach(BiConsumer<String, String> action) {}
    };

    /** Whether it is served, or refused unsent. */
    @Param({"true", "false"})
    public boolean served;

    private final FlightRecorder recorder = new FlightRecorder(1_000, new long[] {100_000});
    private final Candidate[] drawn = {new Candidate("s1", 1, 2, 4, 1), new Candidate("s2", 1, 3, 4, 1)};
    private long now = 1_000_000_000L;
    private long numbers;

    /** One comes, and the one that came a hundred before ends. */
    @Benchmark
    public void request() {
        now += 100;
        long id = ++numbers;
        recorder.accepted(
                now,
                new ClientRequest(id, 0, -1, 400_000, 0, false, "GET", "/view/7", NO_FIELDS, null, null, 0),
                400_000,
                0);
        recorder.admitted(now, id);
        if (served) {
            recorder.candidatesDrawn(id, drawn[0], drawn[1]);
            recorder.attemptSent(now, id, "s1", now + 100_000);
        }
        long old = id - IN_HAND;
        if (served) {
            recorder.attemptEnded(now, old, 0, Result.OK, 10_000);
            recorder.completed(now, old, Completion.SERVED, 0);
        } else {
            recorder.reasonGiven(old, UnservedReason.SHED);
            recorder.completed(now, old, Completion.REFUSED, 1_000_000);
        }
    }
}
