package vetchpost.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import vetchpost.core.AdmissionControl;
import vetchpost.core.ClientRequest;
import vetchpost.core.Headers;

/**
 * A stand-in for the decision module that sends requests of class 1 only, one every 10 ms; requests of other classes
 * stay unsent.
 */
final class SingleClassBalancer {
    private final FairAdmission admission;
    private final List<SubmittedRequest> unsentRequests = new ArrayList<>();
    private long currentUs = 1_000_000_000_000L;
    private long lastNumber;
    int sentCount;

    private final class SubmittedRequest implements AdmissionControl.Applicant {
        private final int classIndex;
        private AdmissionControl.RequestProgress progress;

        SubmittedRequest(int classIndex) {
            this.classIndex = classIndex;
        }

        @Override
        public void admitted() {
            unsentRequests.add(this);
        }

        @Override
        public void rejected(long retryAfterUs) {
            throw new AssertionError("unexpected rejection: the deadline is far away");
        }
    }

    SingleClassBalancer(FairAdmission admission) {
        this.admission = admission;
    }

    int unsentCount() {
        return unsentRequests.size();
    }

    void submit(int classIndex, int client) {
        SubmittedRequest request = new SubmittedRequest(classIndex);
        Headers noHeaders = new Headers() {
            @Override
            public String get(String name) {
                return null;
            }

            @Override
            public void forEach(BiConsumer<String, String> action) {}
        };
        request.progress = admission.arrive(
                currentUs,
                new ClientRequest(
                        ++lastNumber, classIndex, 0, 100_000_000, 0, false, "GET", "/", noHeaders, new byte[0]),
                client,
                0,
                currentUs + 100_000_000,
                request);
        admission.advance(currentUs);
    }

    void run(long durationUs) {
        for (long untilUs = currentUs + durationUs; currentUs < untilUs; ) {
            currentUs += 10_000;
            for (SubmittedRequest request : unsentRequests) {
                if (request.classIndex == 1) {
                    unsentRequests.remove(request);
                    sentCount++;
                    request.progress.onFirstAttemptSent();
                    request.progress.onCompleted();
                    break;
                }
            }
            admission.advance(currentUs);
        }
    }
}
