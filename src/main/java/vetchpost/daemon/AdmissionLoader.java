package vetchpost.daemon;

import vetchpost.admission.AdmissionSettings;
import vetchpost.admission.FairAdmission;
import vetchpost.config.NodeConfig;
import vetchpost.node.Node;

/** Configures a node's admission control from its operator's file, at the start and at each reload. */
final class AdmissionLoader {
    private AdmissionLoader() {}

    /**
     * Applies the settings; call on the node's event loop. Queued requests stay queued, and are admitted if admission
     * control is removed.
     *
     * @param settings of admission control, or null for none
     */
    static void apply(Node node, AdmissionSettings settings, NodeConfig config) {
        if (settings == null) {
            if (node.admission() != null) {
                node.admission(null);
            }
        } else if (node.admission() instanceof FairAdmission admission) {
            admission.reconfigure(settings);
        } else {
            node.admission(new FairAdmission(settings, config.settings(), config.seed()));
        }
    }
}
