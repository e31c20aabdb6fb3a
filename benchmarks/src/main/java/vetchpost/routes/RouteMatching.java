package vetchpost.routes;

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
import vetchpost.decision.Balancer.DeduplicationScope;
import vetchpost.decision.Balancer.Idempotency;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.Balancer.Settings;
import vetchpost.routes.file.RouteFile;

/** The cost of finding a request's route, by how many there are. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class RouteMatching {
    private static final int TARGET_COUNT = 1_024;

    @Param({"3", "100", "10000"})
    private int routes;

    private RouteTable table;
    private final String[] targets = new String[TARGET_COUNT];
    private int nextTarget;

    /** Routes of three segments after the class, and requests that match them in turn. */
    @Setup
    public void setUp() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < routes; i++) {
            text.append("[[route]]\nname = \"r")
                    .append(i)
                    .append("\"\npath = \"/view-page/school-")
                    .append(i / 100)
                    .append("/{page}/part-")
                    .append(i % 100)
                    .append("\"\nattempts = 2\n");
        }
        Settings settings = new Settings();
        settings.classes.add(new RequestClass(
                "view-page", 100_000, 0, 500_000, 1, 0, Idempotency.SAFE, DeduplicationScope.ALL, 0, false));
        table = RouteValidator.validate(
                        RouteFile.parse("bench.toml", text.toString()).sections(), settings)
                .table();
        for (int i = 0; i < TARGET_COUNT; i++) {
            int route = (int) (i * 7_919L % routes);
            targets[i] = "/view-page/school-" + route / 100 + "/page-" + i + "/part-" + route % 100 + "?size=2";
        }
    }

    /** One look-up. */
    @Benchmark
    public Route find() {
        return table.find("view-page", "GET", targets[nextTarget++ & TARGET_COUNT - 1], -1);
    }
}
