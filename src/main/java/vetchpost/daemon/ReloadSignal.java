package vetchpost.daemon;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, the signal to reload the configuration. Java has no public API for signals, and a direct reference
 * to {@code sun.misc.Signal} causes a compiler warning that can't be turned off, so the class is looked up by name.
 */
final class ReloadSignal {
    private ReloadSignal() {}

    /**
     * Installs a handler for SIGHUP, which then no longer ends the process.
     *
     * @param action runs on a thread of the runtime at each SIGHUP
     * @return false if the process was started with the signal ignored, as {@code nohup} and some supervisors do; the
     *     runtime leaves it ignored, and the action never runs
     * @throws IllegalStateException if the runtime offers no way to handle the signal
     */
    static boolean handle(Runnable action) {
        InvocationHandler handler = (proxy, method, args) -> switch (method.getName()) {
            case "handle" -> {
                action.run();
                yield null;
            }
            case "equals" -> proxy == args[0];
            case "hashCode" -> System.identityHashCode(proxy);
            default -> "ReloadSignal";
        };
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object previousHandler = signalType
                    .getMethod("handle", signalType, handlerType)
                    .invoke(
                            null,
                            signalType.getConstructor(String.class).newInstance("HUP"),
                            Proxy.newProxyInstance(
                                    handlerType.getClassLoader(), new Class<?>[] {handlerType}, handler));
            return !handlerType.getField("SIG_IGN").get(null).equals(previousHandler);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            throw new IllegalStateException("SIGHUP can't be handled by this Java runtime", e);
        }
    }
}
