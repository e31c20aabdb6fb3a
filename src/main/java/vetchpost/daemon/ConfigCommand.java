package vetchpost.daemon;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import vetchpost.routes.RouteValidator.RouteChange;

/** The command {@code config}: what a reload would change. */
@Command(
        name = "config",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Compares operators' files.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:the new file holds", "1:it breaks a rule", "2:the old one does, or bad arguments"})
final class ConfigCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "say diff OLD NEW");
    }

    @Command(
            name = "diff",
            description = {
                "Shows what a reload would change, proved as a reload proves it: " + "each route that is",
                "put, replaced or deleted, or that something else has changed too."
            })
    int diff(
            @Parameters(paramLabel = "OLD", description = "The file that is in force.") Path before,
            @Parameters(paramLabel = "NEW", description = "The one to come.") Path after) {
        ValidatedFile old;
        ValidatedFile fresh;
        try {
            old = ValidatedFile.read(before, sections -> null, null);
            if (!old.isValid() || old.node() == null) {
                throw new ParameterException(
                        spec.commandLine(),
                        old.isValid() ? before + " has no table [node]" : old.describeViolations(before + " is"));
            }
            fresh = old.reread(after);
        } catch (IOException e) {
            throw new ParameterException(spec.commandLine(), "can't read the files: " + e);
        }
        PrintWriter out = spec.commandLine().getOut();
        fresh.violations().forEach(out::println);
        if (!fresh.isValid()) {
            out.println(fresh.violations().size() + (fresh.violations().size() == 1 ? " violation" : " violations"));
        } else if (fresh.node() != old.node()) {
            out.println("more than routes has changed: a reload reads all of it");
        }
        for (RouteChange change : fresh.routeChangesSince(old)) {
            out.println(change.op().name().toLowerCase(java.util.Locale.ROOT) + " route " + change.name());
        }
        out.flush();
        return fresh.isValid() ? 0 : 1;
    }
}
