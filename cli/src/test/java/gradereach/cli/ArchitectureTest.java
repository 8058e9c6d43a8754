package gradereach.cli;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Checks the direction of dependencies: packages that decide or hold state do no I/O. */
@AnalyzeClasses(packages = "gradereach", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    private static final String[] DECISION_PACKAGES = {"gradereach.webhook..", "gradereach.message..", "gradereach.desk..",
        "gradereach.counts..", "gradereach.replay..", "gradereach.flow..", "gradereach.measures..", "gradereach.membership..",
        "gradereach.alerts..", "gradereach.inquiry..", "gradereach.ledger"};

    @ArchTest
    static final ArchRule coreDependsOnJavaLangAndUtilOnly = classes().that().resideInAnyPackage("gradereach", "gradereach.api..",
            "gradereach.state..").should().onlyDependOnClassesThat().resideInAnyPackage("gradereach",
            "gradereach.api..", "gradereach.state..", "java.lang..", "java.util..");

    @ArchTest
    static final ArchRule coreHasNoThreadAndNoClock = noClasses().that().resideInAnyPackage("gradereach",
            "gradereach.api..", "gradereach.state..", "gradereach.desk..").should().dependOnClassesThat()
            .haveNameMatching("java\\.lang\\.Thread|java\\.util\\.concurrent\\.(locks|Executor).*");

    @ArchTest
    static final ArchRule benchAdapterHasFewDependencies = classes().that().resideInAPackage("gradereach.benchlink..")
            .should().onlyDependOnClassesThat().resideInAnyPackage("gradereach", "gradereach.api..",
            "gradereach.state..", "gradereach.benchlink..", "java..");

    @ArchTest
    static final ArchRule decisionPackagesDoNoIo = noClasses().that().resideInAnyPackage(DECISION_PACKAGES).should()
            .dependOnClassesThat().resideInAnyPackage("io.netty..", "java.net..", "java.nio.file..", "java.nio.channels..");

    @ArchTest
    static final ArchRule decisionClassesInIoPackagesDoNoIo = noClasses().that()
            .haveNameMatching(".*\\.(StreamAllocator|ChangelogState|Frame|FrameOutcomes|LoadReportParser|ExchangeOutcomes|OrcaReportParser"
                    + "|RosterTracker|DeliveryScheduler|ClaimTable|ClaimCoordinator|FrontEndSet|SendQueue|Shards|ShardCalculator"
                    + "|PushSchedule)").should()
            .dependOnClassesThat().resideInAnyPackage("io.netty.channel..", "java.net..", "java.nio.file..", "java.nio.channels..");

    @ArchTest
    static final ArchRule decisionPackagesDoNotDependOnOuterPackages = noClasses().that().resideInAnyPackage(DECISION_PACKAGES).should()
            .dependOnClassesThat().resideInAnyPackage("gradereach.front..", "gradereach.link..", "gradereach.loop..",
            "gradereach.serve..", "gradereach.plan..", "gradereach.http2..", "gradereach.delivery..");

    @ArchTest
    static final ArchRule platformPartsDoNotDependOnProcesses = noClasses().that().resideInAnyPackage("gradereach.platform.plan..",
            "gradereach.platform.link..", "gradereach.platform.front..", "gradereach.platform.changelog..").should()
            .dependOnClassesThat().resideInAnyPackage("gradereach.platform.serve..", "gradereach.serve..", "gradereach.http2..");

    @ArchTest
    static final ArchRule productDoesNotDependOnStandIns = noClasses().that().resideOutsideOfPackages(
            "gradereach.standins..", "gradereach.rehearsal..", "gradereach.measure..", "gradereach.cli..").should().dependOnClassesThat()
            .resideInAnyPackage("gradereach.standins..", "gradereach.rehearsal..");

    @ArchTest
    static final ArchRule standInsDoNotDependOnTheProduct = noClasses().that().resideInAPackage("gradereach.standins..")
            .should().dependOnClassesThat(com.tngtech.archunit.base.DescribedPredicate.describe("of the product",
            type -> type.getPackageName().startsWith("gradereach") && !type.getPackageName().startsWith("gradereach.standins")
                    && !type.getPackageName().startsWith("gradereach.protocol")));
}
