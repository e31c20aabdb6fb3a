package vetchpost;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** The arrows between packages, as docs/architecture.md draws them. */
@AnalyzeClasses(packages = "vetchpost", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    private static final String JAVA = "java..";

    @ArchTest
    static final ArchRule NO_CIRCLES =
            slices().matching("vetchpost.(*)..").should().beFreeOfCycles();

    @ArchTest
    static final ArchRule THE_MODULE_STANDS_ALONE = classes()
            .that()
            .resideInAPackage("vetchpost.decision..")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(JAVA, "vetchpost.decision..");

    @ArchTest
    static final ArchRule THE_CORE_KNOWS_NO_PROTOCOL = classes()
            .that()
            .resideInAPackage("vetchpost.core..")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(JAVA, "vetchpost.core..", "vetchpost.decision..");

    @ArchTest
    static final ArchRule NEITHER_DOES_INPUT_OR_OUTPUT = noClasses()
            .that()
            .resideInAnyPackage("vetchpost.decision..", "vetchpost.core..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("java.io..", "java.nio..", "java.util.concurrent..")
            .orShould()
            .dependOnClassesThat()
            .haveFullyQualifiedName("java.net.Socket")
            .orShould()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis");

    /** Else a simulation's node would read the machine's clock. */
    @ArchTest
    static final ArchRule TIME_COMES_FROM_THE_LOOP = noClasses()
            .that()
            .resideInAnyPackage(
                    "vetchpost.http..",
                    "vetchpost.discovery..",
                    "vetchpost.net..",
                    "vetchpost.handover..",
                    "vetchpost.recovery..",
                    "vetchpost.state..",
                    "vetchpost.web..",
                    "vetchpost.sourcewatch..")
            .should()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis");

    /** Else a simulation's node would open the machine's sockets. */
    @ArchTest
    static final ArchRule SOCKETS_COME_FROM_THE_NETWORK = noClasses()
            .that()
            .resideInAnyPackage(
                    "vetchpost.http..",
                    "vetchpost.discovery..",
                    "vetchpost.node..",
                    "vetchpost.handover..",
                    "vetchpost.recovery..",
                    "vetchpost.web..",
                    "vetchpost.sourcewatch..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("io.netty.channel.nio..", "io.netty.channel.socket.nio..");

    @ArchTest
    static final ArchRule PROTOCOLS_KNOW_NOTHING_OF_EACH_OTHER = noClasses()
            .that()
            .resideInAPackage("vetchpost.http..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "vetchpost.discovery..", "vetchpost.config..", "vetchpost.node..", "vetchpost.daemon..");

    @ArchTest
    static final ArchRule THE_ADAPTER_HAS_ONLY_THE_MODULE = noClasses()
            .that()
            .resideInAPackage("vetchpost.simadapter..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "vetchpost.http..", "vetchpost.core..", "vetchpost.node..", "vetchpost.daemon..", "io.netty..");

    /** A checker that used the node's code would share its errors. */
    @ArchTest
    static final ArchRule THE_CHECKER_SHARES_NOTHING_WITH_THE_NODE = classes()
            .that()
            .resideInAPackage("vetchpost.simulation.check..")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(
                    JAVA, "vetchpost.simulation.check..", "vetchpost.simulation.wire..", "vetchpost.simulation.net..");

    /** Proofs are of files that somebody else has read. */
    @ArchTest
    static final ArchRule ROUTES_DO_NO_INPUT_OR_OUTPUT = noClasses()
            .that()
            .resideInAPackage("vetchpost.routes")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("java.io..", "java.nio..", "io.netty..", "org.tomlj..");

    /** Entries, versions and their sums know neither what they mean nor how they travel. */
    @ArchTest
    static final ArchRule THE_STORE_STANDS_ALONE = classes()
            .that()
            .resideInAPackage("vetchpost.store")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(
                    "java.lang..", "java.util", "java.util.stream", "java.nio", "java.nio.charset", "vetchpost.store");

    /** Who is told what, and what is believed of it, is decided without a clock, a disk or a socket. */
    @ArchTest
    static final ArchRule REPLICATION_DECIDES_WITHOUT_INPUT_OR_OUTPUT = classes()
            .that()
            .resideInAnyPackage("vetchpost.replication", "vetchpost.changes")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(
                    "java.lang..",
                    "java.io",
                    "java.util",
                    "java.util.function",
                    "java.util.stream",
                    "java.util.zip",
                    "java.nio.charset",
                    "com.google.protobuf..",
                    "vetchpost.replication",
                    "vetchpost.changes",
                    "vetchpost.store",
                    "vetchpost.routes",
                    "vetchpost.decision..");

    /** What is believed of old knowledge is decided without a clock, a disk or a socket. */
    @ArchTest
    static final ArchRule STATE_DECIDES_WITHOUT_INPUT_OR_OUTPUT = classes()
            .that()
            .resideInAPackage("vetchpost.state")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(
                    "java.lang..",
                    "java.util",
                    "java.util.function",
                    "java.net",
                    "vetchpost.state",
                    "vetchpost.core..",
                    "vetchpost.decision..");

    /** Who goes first, and who is told what, is decided without a clock or a socket. */
    @ArchTest
    static final ArchRule THE_DOOR_DECIDES_WITHOUT_INPUT_OR_OUTPUT = classes()
            .that()
            .resideInAPackage("vetchpost.admission")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(
                    "java.lang..",
                    "java.util",
                    "java.util.function",
                    "java.util.regex",
                    "java.util.stream",
                    "java.nio.charset",
                    "vetchpost.admission",
                    "vetchpost.core..",
                    "vetchpost.decision..",
                    "vetchpost.routes",
                    "org.apache.commons.codec.digest");

    @ArchTest
    static final ArchRule THE_DISK_IS_NEVER_TOUCHED_FROM_A_LOOP = noClasses()
            .that()
            .resideInAnyPackage("vetchpost.recovery..", "vetchpost.handover..", "vetchpost.node..", "vetchpost.core..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("vetchpost.state.disk..");

    @ArchTest
    static final ArchRule HANDOVERS_KNOW_NO_NODE = noClasses()
            .that()
            .resideInAnyPackage("vetchpost.handover..", "vetchpost.state..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "vetchpost.recovery..",
                    "vetchpost.node..",
                    "vetchpost.http..",
                    "vetchpost.discovery..",
                    "vetchpost.config..",
                    "vetchpost.daemon..");

    /**
     * Who is in the fleet, who is checked and what a file comes to is decided without a clock or a socket.
     */
    @ArchTest
    static final ArchRule SOURCES_DECIDE_WITHOUT_INPUT_OR_OUTPUT = classes()
            .that()
            .resideInAnyPackage("vetchpost.sources", "vetchpost.standalone")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(
                    "java.lang..",
                    "java.util",
                    "java.util.function",
                    "java.util.regex",
                    "java.util.stream",
                    "java.net",
                    "vetchpost.sources",
                    "vetchpost.standalone",
                    "vetchpost.core..",
                    "vetchpost.decision..",
                    "vetchpost.routes");

    /** What operators may do, and what it comes to, is decided without a clock, a disk or a socket. */
    @ArchTest
    static final ArchRule CONTROL_DECIDES_WITHOUT_INPUT_OR_OUTPUT = classes()
            .that()
            .resideInAPackage("vetchpost.control")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(
                    "java.lang..",
                    "java.util",
                    "java.util.function",
                    "java.util.regex",
                    "java.util.stream",
                    "java.nio.charset",
                    "vetchpost.control",
                    "vetchpost.core..",
                    "vetchpost.decision..",
                    "vetchpost.routes",
                    "vetchpost.recorder",
                    "com.google.gson",
                    "org.apache.commons.codec.digest");

    /** What became of requests is kept without a clock of its own, a disk or a socket. */
    @ArchTest
    static final ArchRule THE_RECORDER_DOES_NO_INPUT_OR_OUTPUT = classes()
            .that()
            .resideInAPackage("vetchpost.recorder")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(
                    "java.lang..",
                    "java.util",
                    "java.util.function",
                    "java.util.stream",
                    "vetchpost.recorder",
                    "vetchpost.core..",
                    "vetchpost.decision..");

    /** A protocol decides how bytes look and what an ending means, and nothing else. */
    @ArchTest
    static final ArchRule FASTCGI_KNOWS_BYTES_AND_OUTCOMES = classes()
            .that()
            .resideInAPackage("vetchpost.fastcgi")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(
                    "java.lang..",
                    "java.util..",
                    "java.nio.charset",
                    "io.netty.buffer..",
                    "io.netty.channel..",
                    "io.netty.handler.codec..",
                    "io.netty.util..",
                    "vetchpost.fastcgi",
                    "vetchpost.decision..");

    /** The platform's node loads nothing of what runs a node without a platform. */
    @ArchTest
    static final ArchRule THE_PLATFORMS_NODE_DOES_NOT_KNOW_THE_OTHER = noClasses()
            .that()
            .resideInAnyPackage(
                    "vetchpost.node..",
                    "vetchpost.core..",
                    "vetchpost.http..",
                    "vetchpost.discovery..",
                    "vetchpost.config..",
                    "vetchpost.decision..",
                    "vetchpost.net..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "vetchpost.web..",
                    "vetchpost.sources..",
                    "vetchpost.standalone..",
                    "vetchpost.sourcewatch..",
                    "vetchpost.control..",
                    "vetchpost.operations..",
                    "vetchpost.recorder..",
                    "vetchpost.fastcgi..");

    /** A node that nothing is kept of loads nothing of this, but the name of an interface. */
    @ArchTest
    static final ArchRule THE_PLATFORMS_NODE_LOADS_NO_CHANGES = noClasses()
            .that()
            .resideInAnyPackage(
                    "vetchpost.node..",
                    "vetchpost.core..",
                    "vetchpost.http..",
                    "vetchpost.discovery..",
                    "vetchpost.config..",
                    "vetchpost.decision..",
                    "vetchpost.net..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("vetchpost.store..", "vetchpost.replication..", "vetchpost.changes..");

    @ArchTest
    static final ArchRule A_NODE_DOES_NOT_KNOW_WHAT_GOES_ALONG_WITH_IT = noClasses()
            .that()
            .resideInAnyPackage(
                    "vetchpost.node..",
                    "vetchpost.core..",
                    "vetchpost.http..",
                    "vetchpost.discovery..",
                    "vetchpost.config..",
                    "vetchpost.decision..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "vetchpost.recovery..",
                    "vetchpost.handover..",
                    "vetchpost.admission..",
                    "vetchpost.state..",
                    "com.google.protobuf..",
                    "org.apache.commons..",
                    "at.favre..");

    @ArchTest
    static final ArchRule IN_SERVICE_NOTHING_IS_SIMULATED = noClasses()
            .that()
            .resideOutsideOfPackages("vetchpost.simulation..", "vetchpost.daemon..", "vetchpost.demo..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("vetchpost.simulation..");
}
