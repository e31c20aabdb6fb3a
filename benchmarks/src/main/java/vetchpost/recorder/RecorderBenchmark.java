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
    private static final int PENDING_REQUESTS = 100;
    private static final Headers NO_HEADERS = new Headers() {
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
    private final Candidate[] candidates = {new Candidate("s1", 1, 2, 4, 1), new Candidate("s2", 1, 3, 4, 1)};
    private long nowUs = 1_000_000_000L;
    private long lastId;

    /** One comes, and the one that came a hundred before ends. */
    @Benchmark
    public void request() {
        nowUs += 100;
        long id = ++lastId;
        recorder.accepted(
                nowUs,
                new ClientRequest(id, 0, -1, 400_000, 0, false, "GET", "/view/7", NO_HEADERS, null, null, 0),
                400_000,
                0);
        recorder.admitted(nowUs, id);
        if (served) {
            recorder.candidatesDrawn(id, candidates[0], candidates[1]);
            recorder.attemptSent(nowUs, id, "s1", nowUs + 100_000);
        }
        long old = id - PENDING_REQUESTS;
        if (served) {
            recorder.attemptEnded(nowUs, old, 0, Result.OK, 10_000);
            recorder.completed(nowUs, old, Completion.SERVED, 0);
        } else {
            recorder.reasonGiven(old, UnservedReason.SHED);
            recorder.completed(nowUs, old, Completion.REFUSED, 1_000_000);
        }
    }
}
