package vetchpost.client.core;

import com.google.gson.JsonElement;

/** Gives tests in other packages access to the reader of scenarios. */
public final class Scenarios {
    private Scenarios() {}

    /** Returns a scenario's settings: the defaults, overridden by the given ones. */
    public static Settings settings(JsonElement overrides) {
        return DecisionScenario.settings(overrides);
    }
}
