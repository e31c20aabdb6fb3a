package vetchpost.simulation.scale;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command {@code scale}: measures costs by fleet size, and simulates the planned size; a group of subcommands. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Measures what grows with a fleet, and simulates the planned size " + "(docs/CAPACITY.md).",
        subcommands = {
            SlopesCommand.class,
            RunCommand.class,
            SeedsCommand.class,
            RealCommand.class,
            ReplicaCommand.class
        },
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:success", "1:a budget is exceeded or a rule is broken", "2:bad arguments"})
public final class ScaleCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        throw new ParameterException(
                spec.commandLine(), "a subcommand is missing: slopes, run, seeds or real; see --help");
    }
}
