package vetchpost.daemon;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ParameterException;
import vetchpost.demo.TryCommand;
import vetchpost.simulation.SimulateCommand;
import vetchpost.simulation.fleet.FleetCommand;
import vetchpost.simulation.overload.OverloadCommand;
import vetchpost.simulation.scale.ScaleCommand;

/** All commands; loaded only where one is given. */
@Command(
        name = "vetchpost",
        mixinStandardHelpOptions = true,
        version = "vetchpost 0.1.0",
        description = {
            "A load-balancing proxy node. Without a command it serves, as the platform starts it.",
            "'rehearse' goes through its work once, for the archive of classes that the build makes."
        },
        commandListHeading = "Commands:%n")
final class Commands implements Runnable {
    private final CommandLine commandLine = new CommandLine(this)
            .addSubcommand(new InitCommand())
            .addSubcommand(new CheckCommand())
            .addSubcommand(new ConfigCommand())
            .addSubcommand(new ServeCommand())
            .addSubcommand(new StateCommand())
            .addSubcommand(new CtlCommand())
            .addSubcommand(new SimulateCommand())
            .addSubcommand(new OverloadCommand())
            .addSubcommand(new FleetCommand())
            .addSubcommand(new ScaleCommand())
            .addSubcommand(new TryCommand());

    private Commands() {}

    /** Runs the command that the arguments name; its exit code. */
    static int run(String... arguments) {
        return new Commands().commandLine.execute(arguments);
    }

    @Override
    public void run() {
        throw new ParameterException(commandLine, "no such command");
    }
}
