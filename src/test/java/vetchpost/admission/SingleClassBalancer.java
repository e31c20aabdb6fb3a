package vetchpost.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import vetchpost.core.AdmissionControl;
import vetchpost.core.ClientRequest;
import vetchpost.core.Headers;

/** A module that can send the second class only, one request every ten milliseconds. */
final class SingleClassBalancer {
    private final FairAdmission admission;
    private final List<SubmittedRequest> unsentRequests = new ArrayList<>();
    private long currentUs = 1_000_000_000_000L;
    private long lastNumber;
    int sentCount;

    private final class SubmittedRequest implements AdmissionControl.Applicant {
        private final int classIndex;
        private AdmissionControl.RequestProgress progress;

        SubmittedRequest(int cls) {
            this.classIndex = cls;
        }

        @Override
        public void admitted() {
            unsentRequests.add(this);
        }

        @Override
        public void rejected(long retryAfterUs) {
            throw new AssertionError("there is all the time");
        }
    }

    SingleClassBalancer(FairAdmission door) {
        this.admission = door;
    }

    int unsentCount() {
        return unsentRequests.size();
    }

    void submit(int cls, int client) {
        SubmittedRequest entrant = new SubmittedRequest(cls);
        Headers none = new Headers() {
            @Override
            public String get(String name) {
                return null;
            }

            @Override
            public void forEach(BiConsumer<String, String> action) {}
        };
        entrant.progress = admission.arrive(
                currentUs,
                new ClientRequest(++lastNumber, cls, 0, 100_000_000, 0, false, "GET", "/", none, new byte[0]),
                client,
                0,
                currentUs + 100_000_000,
                entrant);
        admission.advance(currentUs);
    }

    void run(long us) {
        for (long until = currentUs + us; currentUs < until; ) {
            currentUs += 10_000;
            for (SubmittedRequest one : unsentRequests) {
                if (one.classIndex == 1) {
                    unsentRequests.remove(one);
                    sentCount++;
                    one.progress.onFirstAttemptSent();
                    one.progress.onCompleted();
                    break;
                }
            }
            admission.advance(currentUs);
        }
    }
}
