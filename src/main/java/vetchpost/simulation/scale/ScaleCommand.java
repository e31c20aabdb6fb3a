package vetchpost.simulation.scale;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command {@code scale}: what things cost by how many there are, and the size that is coming. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Measures what grows with a fleet, and plays the size that is coming " + "(docs/CAPACITY.md).",
        subcommands = {
            SlopesCommand.class,
            RunCommand.class,
            SeedsCommand.class,
            RealCommand.class,
            ReplicaCommand.class
        },
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:good", "1:a budget or a rule does not hold", "2:bad arguments"})
public final class ScaleCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "say slopes, run, seeds or real; --help tells more");
    }
}
