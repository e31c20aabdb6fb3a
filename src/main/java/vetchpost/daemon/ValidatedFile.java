package vetchpost.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import vetchpost.admission.AdmissionSettings;
import vetchpost.admission.AdmissionValidator;
import vetchpost.changes.ChangesSettings;
import vetchpost.changes.ChangesValidator;
import vetchpost.control.ControlSettings;
import vetchpost.control.ControlValidator;
import vetchpost.decision.Balancer.Settings;
import vetchpost.recovery.RecoverySettings;
import vetchpost.recovery.RecoveryValidator;
import vetchpost.routes.Position;
import vetchpost.routes.RouteCodec;
import vetchpost.routes.RouteTable;
import vetchpost.routes.RouteValidation;
import vetchpost.routes.RouteValidator;
import vetchpost.routes.RouteValidator.RouteChange;
import vetchpost.routes.Section;
import vetchpost.routes.Violation;
import vetchpost.routes.file.FileIndex;
import vetchpost.standalone.Standalone;
import vetchpost.standalone.StandaloneValidator;
import vetchpost.store.EntryChange.Op;
import vetchpost.store.EntryKey;
import vetchpost.store.EntryKind;
import vetchpost.store.PackedTree;

/**
 * An operator's file, read and proved: table by table, and again for no more than what has changed where that
 * is in its routes. Blocks on the disk.
 *
 * @param hasOwn whether it has tables of a node by itself
 * @param node what it makes by itself; null where the platform says the rest, and where something is violated
 * @param settings that it was proved by
 * @param routes null where something is violated before they could be proved
 * @param changes null where the routes are its own
 * @param index null if the next reading has to be of the whole
 * @param version one more at each reading that changed something
 * @param violations every one, in the order of the file
 */
record ValidatedFile(
        boolean hasStandaloneTables,
        Standalone node,
        Settings settings,
        RouteValidation routes,
        RecoverySettings recovery,
        AdmissionSettings admission,
        ControlSettings control,
        ChangesSettings changes,
        FileIndex index,
        long version,
        List<Violation> violations) {

    /** Puts together what the tables come to as they are read. */
    private static final class TableReader implements FileIndex.SectionHandler {
        private final Function<List<Section>, Settings> platformSettings;
        private final RouteTable previousTable;
        private final long version;
        private final List<Violation> violations = new ArrayList<>();
        private List<Section> otherSections = List.of();
        private Standalone node;
        private Settings settings;
        private RouteValidator routeValidator;

        TableReader(Function<List<Section>, Settings> platform, RouteTable before, long version) {
            this.platformSettings = platform;
            this.previousTable = before;
            this.version = version;
        }

        @Override
        public void acceptOtherSections(List<Section> sections) {
            otherSections = sections;
            settings = platformSettings.apply(sections);
            boolean alone = settings == null;
            if (alone) {
                StandaloneValidator.Validation made = StandaloneValidator.validate(sections);
                violations.addAll(made.violations());
                node = made.standalone();
                settings = node == null ? null : node.settings();
            }
            if (settings != null) {
                routeValidator = RouteValidator.begin(sections, settings, alone, previousTable, version);
            }
        }

        @Override
        public void acceptRoute(Section section) {
            if (routeValidator != null) {
                routeValidator.addRoute(section);
            }
        }

        ValidatedFile finish(FileIndex index) {
            if (routeValidator == null || !violations.isEmpty()) {
                return new ValidatedFile(
                        otherSections.stream().anyMatch(StandaloneValidator::isStandaloneSection),
                        node,
                        settings,
                        null,
                        null,
                        null,
                        null,
                        null,
                        index,
                        version,
                        violations);
            }
            RouteValidation routes = routeValidator.finish();
            RecoveryValidator.Validation recovery = RecoveryValidator.validate(otherSections);
            AdmissionValidator.ValidationResult admission = AdmissionValidator.validate(otherSections, settings);
            ControlValidator.Validation control = ControlValidator.validate(otherSections);
            ChangesValidator.Validation changes = ChangesValidator.validate(otherSections);
            violations.addAll(routes.violations());
            violations.addAll(recovery.violations());
            violations.addAll(admission.violations());
            violations.addAll(control.violations());
            violations.addAll(changes.violations());
            if (changes.settings() != null && node == null) {
                violations.add(new Violation(
                        otherSections.stream()
                                .filter(s -> s.kind() == Section.Kind.CHANGES)
                                .findFirst()
                                .orElseThrow()
                                .position(),
                        "changes",
                        Violation.Rule.INCOMPLETE,
                        "beside a platform routes come from " + "the file",
                        "[node], or no [changes]"));
            }
            if (changes.settings() != null
                    && routes.table() != null
                    && routes.table().size() > 0) {
                violations.add(new Violation(
                        otherSections.stream()
                                .filter(s -> s.kind() == Section.Kind.CHANGES)
                                .findFirst()
                                .orElseThrow()
                                .position(),
                        "changes",
                        Violation.Rule.UNREACHABLE,
                        routes.table().size() + " routes of this file: they come from control machines",
                        "no [[route]]"));
            }
            return new ValidatedFile(
                    otherSections.stream().anyMatch(StandaloneValidator::isStandaloneSection),
                    node,
                    settings,
                    routes,
                    recovery.settings(),
                    admission.settings(),
                    control.settings(),
                    changes.settings(),
                    index,
                    version,
                    violations);
        }
    }

    /**
     * Reads a file.
     *
     * @param platform tells by the tables that are no routes what the platform's settings are; null for a
     * file that makes a node by itself
     * @param before what it said the last time, or null
     * @throws IOException if it can't be read
     */
    static ValidatedFile read(Path path, Function<List<Section>, Settings> platform, ValidatedFile before)
            throws IOException {
        TableReader reading = new TableReader(
                platform, before == null ? null : before.routes.table(), before == null ? 1 : before.version + 1);
        FileIndex index = FileIndex.read(path, reading, reading.violations::add);
        return reading.finish(index);
    }

    /** Whether nothing is violated. */
    boolean isValid() {
        return violations.isEmpty();
    }

    /** All violations, a line each. */
    String describeViolations(String what) {
        return what + " refused:\n" + violations.stream().map(v -> "  " + v).collect(Collectors.joining("\n"));
    }

    /**
     * Reads the file of a node by itself again. Where nothing but routes has changed, all else is the same
     * object.
     *
     * @throws IOException if it can't be read
     */
    ValidatedFile reread(Path path) throws IOException {
        FileIndex.Difference difference = index == null ? null : index.reread(path);
        if (difference == null) {
            return read(path, sections -> null, this);
        }
        if (!difference.violations().isEmpty()) {
            return new ValidatedFile(
                    hasStandaloneTables,
                    node,
                    settings,
                    null,
                    recovery,
                    admission,
                    control,
                    changes,
                    null,
                    version,
                    difference.violations());
        }
        List<RouteChange> ofRoutes = changes(path, difference);
        if (ofRoutes.isEmpty()) {
            return new ValidatedFile(
                    hasStandaloneTables,
                    node,
                    settings,
                    routes,
                    recovery,
                    admission,
                    control,
                    changes,
                    difference.index(),
                    version,
                    List.of());
        }
        RouteValidation changed = RouteValidator.validateChanges(routes.table(), ofRoutes, version + 1);
        return new ValidatedFile(
                hasStandaloneTables,
                node,
                settings,
                new RouteValidation(changed.table(), changed.routes(), routes.fleetSubset(), changed.violations()),
                recovery,
                admission,
                control,
                changes,
                difference.index(),
                version + 1,
                changed.violations());
    }

    private List<RouteChange> changes(Path path, FileIndex.Difference difference) {
        Set<String> gone = new HashSet<>(difference.removedRoutes());
        Set<String> fresh = new HashSet<>();
        List<RouteChange> changes = new ArrayList<>();
        for (Section section : difference.changedRoutes()) {
            String name = RouteCodec.nameOf(section);
            fresh.add(name);
            if (!gone.contains(name)) {
                changes.add(new RouteChange(Op.PUT, name, section, section.position()));
            } else if (!hasSameContent(name, section)) {
                changes.add(new RouteChange(Op.REPLACE, name, section, section.position()));
            }
        }
        for (String name : gone) {
            if (!fresh.contains(name)) {
                changes.add(new RouteChange(Op.DELETE, name, null, new Position(path.toString(), 1, 1)));
            }
        }
        return changes;
    }

    /** Which routes differ from those of another file that holds too; none where either does not. */
    List<RouteChange> routeChangesSince(ValidatedFile before) {
        List<RouteChange> changes = new ArrayList<>();
        if (!isValid() || !before.isValid()) {
            return changes;
        }
        byte[] first = new EntryKey(EntryKind.ROUTE, "").bytes();
        PackedTree is = routes.table().entries();
        PackedTree was = before.routes.table().entries();
        for (PackedTree.Item item = is.ceiling(first);
                item != null;
                item = is.ceiling(PackedTree.successor(item.key()))) {
            PackedTree.Item old = was.get(item.key());
            if (old == null || !Arrays.equals(old.value(), item.value())) {
                changes.add(new RouteChange(
                        old == null ? Op.PUT : Op.REPLACE,
                        EntryKey.of(item.key()).name(),
                        null,
                        null));
            }
        }
        for (PackedTree.Item item = was.ceiling(first);
                item != null;
                item = was.ceiling(PackedTree.successor(item.key()))) {
            if (!is.contains(item.key())) {
                changes.add(new RouteChange(Op.DELETE, EntryKey.of(item.key()).name(), null, null));
            }
        }
        return changes;
    }

    /** Whether a route says just that, whatever its lines look like. */
    private boolean hasSameContent(String name, Section section) {
        try {
            return Arrays.equals(
                    routes.table()
                            .entries()
                            .get(new EntryKey(EntryKind.ROUTE, name).bytes())
                            .value(),
                    RouteCodec.encode(section));
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
