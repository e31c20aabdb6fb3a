package vetchpost.daemon;

import vetchpost.admission.AdmissionSettings;
import vetchpost.admission.FairAdmission;
import vetchpost.config.NodeConfig;
import vetchpost.node.Node;

/** Puts the door before a node that its operator's file asks for, at the start and at each reload. */
final class AdmissionLoader {
    private AdmissionLoader() {}

    /**
     * Has the node have this door; what waits before the one it has goes on waiting, and goes in if there
     * is to be none any more.
     *
     * @param settings null for none
     */
    static void apply(Node node, AdmissionSettings settings, NodeConfig config) {
        if (settings == null) {
            if (node.admission() != null) {
                node.admission(null);
            }
        } else if (node.admission() instanceof FairAdmission door) {
            door.reconfigure(settings);
        } else {
            node.admission(new FairAdmission(settings, config.settings(), config.seed()));
        }
    }
}
