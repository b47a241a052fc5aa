package org.vanilladoor;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Which packages may use which. */
@AnalyzeClasses(packages = "org.vanilladoor", importOptions = ImportOption.DoNotIncludeTests.class)
class PackageRulesTests {
    @ArchTest
    static final ArchRule PACKAGES_FORM_NO_CYCLES =
            slices().matching("org.vanilladoor.(*)..").should().beFreeOfCycles();

    @ArchTest
    static final ArchRule WHAT_ENTRIES_RUN_USES_NO_STAND_INS =
            noClasses()
                    .that()
                    .resideInAnyPackage(
                            "..entry..",
                            "..caller..",
                            "..dispatch..",
                            "..claim..",
                            "..order..",
                            "..lease..",
                            "..usage..",
                            "..membership..",
                            "..role..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage("..standin..", "..demo..", "..load..");

    @ArchTest
    static final ArchRule DECISION_CORES_USE_NO_SOCKETS =
            noClasses()
                    .that()
                    .resideInAnyPackage(
                            "..dispatch..", "..lease..", "..role..", "..membership..", "..engine..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage("..http..", "..peer..", "java.net..");

    @ArchTest
    static final ArchRule ONLY_COMMANDS_KNOW_THE_OPERATORS_PLATFORM =
            noClasses()
                    .that()
                    .resideOutsideOfPackages("..platform..", "..command..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage("..platform..");

    @ArchTest
    static final ArchRule SERVING_DECISIONS_USE_NO_SOCKETS =
            noClasses()
                    .that()
                    .resideInAnyPackage("..route..", "..fleet..", "..leader..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage("..transport..", "org.apache.hc..", "java.net..");
}
