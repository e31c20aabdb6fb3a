package vetchpost.client.core;

import com.google.gson.JsonElement;

/** What other packages' tests need of the suite's reader. */
public final class Scenarios {
    private Scenarios() {}

    /** The defaults with what a scenario names in their place. */
    public static Settings settings(JsonElement given) {
        return DecisionScenario.settings(given);
    }
}
