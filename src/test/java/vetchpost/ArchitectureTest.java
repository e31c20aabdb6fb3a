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
    static final ArchRule PACKAGES_ARE_FREE_OF_CYCLES =
            slices().matching("vetchpost.(*)..").should().beFreeOfCycles();

    @ArchTest
    static final ArchRule DECISION_DEPENDS_ONLY_ON_THE_JDK = classes()
            .that()
            .resideInAPackage("vetchpost.decision..")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(JAVA, "vetchpost.decision..");

    @ArchTest
    static final ArchRule CORE_DEPENDS_ONLY_ON_DECISION = classes()
            .that()
            .resideInAPackage("vetchpost.core..")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(JAVA, "vetchpost.core..", "vetchpost.decision..");

    @ArchTest
    static final ArchRule DECISION_AND_CORE_DO_NO_IO = noClasses()
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
    static final ArchRule TIME_COMES_FROM_THE_EVENT_LOOP = noClasses()
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
    static final ArchRule SOCKET_CHANNELS_ARE_INJECTED = noClasses()
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
    static final ArchRule HTTP_DOES_NOT_DEPEND_ON_OTHER_ADAPTERS = noClasses()
            .that()
            .resideInAPackage("vetchpost.http..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "vetchpost.discovery..", "vetchpost.config..", "vetchpost.node..", "vetchpost.daemon..");

    @ArchTest
    static final ArchRule SIMULATOR_ADAPTER_DOES_NOT_DEPEND_ON_THE_NODE = noClasses()
            .that()
            .resideInAPackage("vetchpost.simadapter..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "vetchpost.http..", "vetchpost.core..", "vetchpost.node..", "vetchpost.daemon..", "io.netty..");

    /** A checker that used the node's code would share its errors. */
    @ArchTest
    static final ArchRule CHECKER_DOES_NOT_DEPEND_ON_THE_NODE = classes()
            .that()
            .resideInAPackage("vetchpost.simulation.check..")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(
                    JAVA, "vetchpost.simulation.check..", "vetchpost.simulation.wire..", "vetchpost.simulation.net..");

    /** Proofs are of files that somebody else has read. */
    @ArchTest
    static final ArchRule ROUTES_DO_NO_IO = noClasses()
            .that()
            .resideInAPackage("vetchpost.routes")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("java.io..", "java.nio..", "io.netty..", "org.tomlj..");

    /** Entries, versions and their sums know neither what they mean nor how they travel. */
    @ArchTest
    static final ArchRule STORE_DEPENDS_ONLY_ON_THE_JDK = classes()
            .that()
            .resideInAPackage("vetchpost.store")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(
                    "java.lang..", "java.util", "java.util.stream", "java.nio", "java.nio.charset", "vetchpost.store");

    /** Who is told what, and what is believed of it, is decided without a clock, a disk or a socket. */
    @ArchTest
    static final ArchRule REPLICATION_DECISIONS_DO_NO_IO = classes()
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
    static final ArchRule STATE_DECISIONS_DO_NO_IO = classes()
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
    static final ArchRule ADMISSION_DECISIONS_DO_NO_IO = classes()
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
    static final ArchRule EVENT_LOOPS_NEVER_ACCESS_THE_DISK = noClasses()
            .that()
            .resideInAnyPackage("vetchpost.recovery..", "vetchpost.handover..", "vetchpost.node..", "vetchpost.core..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("vetchpost.state.disk..");

    @ArchTest
    static final ArchRule HANDOVER_DOES_NOT_DEPEND_ON_THE_NODE = noClasses()
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
    static final ArchRule SOURCE_DECISIONS_DO_NO_IO = classes()
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
    static final ArchRule CONTROL_DECISIONS_DO_NO_IO = classes()
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
    static final ArchRule RECORDER_DOES_NO_IO = classes()
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
    static final ArchRule FASTCGI_DEPENDS_ONLY_ON_BUFFERS_AND_OUTCOMES = classes()
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
    static final ArchRule PLATFORM_NODE_DOES_NOT_DEPEND_ON_STANDALONE_MODE = noClasses()
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
    static final ArchRule PLATFORM_NODE_DOES_NOT_DEPEND_ON_CONFIGURATION_CHANGES = noClasses()
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
    static final ArchRule NODE_DOES_NOT_DEPEND_ON_ITS_EXTENSIONS = noClasses()
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
    static final ArchRule PRODUCTION_CODE_DOES_NOT_DEPEND_ON_SIMULATION = noClasses()
            .that()
            .resideOutsideOfPackages("vetchpost.simulation..", "vetchpost.daemon..", "vetchpost.demo..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("vetchpost.simulation..");
}
