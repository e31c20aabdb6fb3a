package vetchpost.core;

import java.util.function.BiConsumer;

/** The header fields of a request that go on to servers, in their order. Names are compared case-insensitively. */
public interface Headers {
    /** The first value of this name, or null. */
    String get(String name);

    /** Passes each name and value to the action, repeated names included. */
    void forEach(BiConsumer<String, String> action);
}
