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

/** The command {@code config}: compares operators' files to show what a reload would change. Reads files only. */
@Command(
        name = "config",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Compares operators' files.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:the new file is valid", "1:it breaks a rule", "2:the old one does, or bad arguments"})
final class ConfigCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "missing command; use: config diff OLD NEW");
    }

    @Command(
            name = "diff",
            description = {
                "Shows what a reload would change, after the same validation: " + "each route that is",
                "put, replaced or deleted, and whether anything else has changed."
            })
    int diff(
            @Parameters(paramLabel = "OLD", description = "The file that is in force.") Path oldPath,
            @Parameters(paramLabel = "NEW", description = "The file to be loaded.") Path newPath) {
        ValidatedFile oldFile;
        ValidatedFile newFile;
        try {
            oldFile = ValidatedFile.read(oldPath, sections -> null, null);
            if (!oldFile.isValid() || oldFile.node() == null) {
                throw new ParameterException(
                        spec.commandLine(),
                        oldFile.isValid()
                                ? oldPath + " has no table [node]"
                                : oldFile.describeViolations(oldPath + " is"));
            }
            newFile = oldFile.reread(newPath);
        } catch (IOException e) {
            throw new ParameterException(spec.commandLine(), "can't read the files: " + e);
        }
        PrintWriter out = spec.commandLine().getOut();
        newFile.violations().forEach(out::println);
        if (!newFile.isValid()) {
            out.println(
                    newFile.violations().size() + (newFile.violations().size() == 1 ? " violation" : " violations"));
        } else if (newFile.node() != oldFile.node()) {
            out.println("not only routes have changed: a reload applies the whole file");
        }
        for (RouteChange change : newFile.routeChangesSince(oldFile)) {
            out.println(change.op().name().toLowerCase(java.util.Locale.ROOT) + " route " + change.name());
        }
        out.flush();
        return newFile.isValid() ? 0 : 1;
    }
}
