package vetchpost.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import vetchpost.core.AdmissionControl;
import vetchpost.core.ClientRequest;
import vetchpost.core.Headers;

/** A module that can send the second class only, one request every ten milliseconds. */
final class SingleClassBalancer {
    private final FairAdmission door;
    private final List<Entrant> inside = new ArrayList<>();
    private long now = 1_000_000_000_000L;
    private long numbers;
    int sent;

    private final class Entrant implements AdmissionControl.Applicant {
        private final int cls;
        private AdmissionControl.RequestProgress entry;

        Entrant(int cls) {
            this.cls = cls;
        }

        @Override
        public void admitted() {
            inside.add(this);
        }

        @Override
        public void rejected(long retryAfterUs) {
            throw new AssertionError("there is all the time");
        }
    }

    SingleClassBalancer(FairAdmission door) {
        this.door = door;
    }

    int unsent() {
        return inside.size();
    }

    void ask(int cls, int client) {
        Entrant entrant = new Entrant(cls);
        Headers none = new Headers() {
            @Override
            public String get(String name) {
                return null;
            }

            @Override
            public void forEach(BiConsumer<String, String> action) {}
        };
        entrant.entry = door.arrive(
                now,
                new ClientRequest(++numbers, cls, 0, 100_000_000, 0, false, "GET", "/", none, new byte[0]),
                client,
                0,
                now + 100_000_000,
                entrant);
        door.advance(now);
    }

    void run(long us) {
        for (long until = now + us; now < until; ) {
            now += 10_000;
            for (Entrant one : inside) {
                if (one.cls == 1) {
                    inside.remove(one);
                    sent++;
                    one.entry.sent();
                    one.entry.ended();
                    break;
                }
            }
            door.advance(now);
        }
    }
}
