package vetchpost.daemon;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * The word to read the configuration again: SIGHUP. Java has no public way to hear of a signal, and naming
 * the one it has in all builds brings a warning that can't be turned off; so it is looked up by name.
 */
final class ReloadSignal {
    private ReloadSignal() {}

    /**
     * Runs the action, on a thread of its own, at each SIGHUP, which no longer ends the program.
     *
     * @return false if the process was started with the signal ignored, as {@code nohup} and some supervisors
     * do: the runtime leaves it ignored, and the action never runs
     */
    static boolean handle(Runnable action) {
        InvocationHandler handler = (proxy, method, args) -> switch (method.getName()) {
            case "handle" -> {
                action.run();
                yield null;
            }
            case "equals" -> proxy == args[0];
            case "hashCode" -> System.identityHashCode(proxy);
            default -> "Hangup";
        };
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> receiver = Class.forName("sun.misc.SignalHandler");
            Object before = signal.getMethod("handle", signal, receiver)
                    .invoke(
                            null,
                            signal.getConstructor(String.class).newInstance("HUP"),
                            Proxy.newProxyInstance(receiver.getClassLoader(), new Class<?>[] {receiver}, handler));
            return !receiver.getField("SIG_IGN").get(null).equals(before);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            throw new IllegalStateException("SIGHUP can't be handled", e);
        }
    }
}
