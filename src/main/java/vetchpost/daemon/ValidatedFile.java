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
 * An operator's file after reading and validation, with all violations found. A file that is read again is validated
 * in full, unless only routes have changed: then only those are. Used by the start, by reloads and by the commands
 * {@code check} and {@code config}. Immutable; reading blocks on the disk.
 *
 * @param hasStandaloneTables whether the file has tables for a standalone node
 * @param node the standalone node's settings; null for a file used with the platform's configuration, and if the
 *     tables for a standalone node are invalid
 * @param settings the settings that the file was validated against; null if the tables that define them are invalid
 * @param routes null if a violation was found before the routes could be validated
 * @param recovery settings of snapshots and handovers; null if the file has none
 * @param admission settings of admission control; null if the file has none
 * @param control settings of the control API; null if the file has none
 * @param changes settings for routes from control machines; null if the file defines the routes
 * @param index positions of the file's sections; null if the next read must read the whole file
 * @param version increases by one with each read that found changes
 * @param violations all violations, in the order of the file
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

    /** Collects the settings of the tables while the file is read. */
    private static final class TableReader implements FileIndex.SectionHandler {
        private final Function<List<Section>, Settings> platformSettings;
        private final RouteTable previousTable;
        private final long version;
        private final List<Violation> violations = new ArrayList<>();
        private List<Section> otherSections = List.of();
        private Standalone node;
        private Settings settings;
        private RouteValidator routeValidator;

        TableReader(Function<List<Section>, Settings> platformSettings, RouteTable previousTable, long version) {
            this.platformSettings = platformSettings;
            this.previousTable = previousTable;
            this.version = version;
        }

        @Override
        public void acceptOtherSections(List<Section> sections) {
            otherSections = sections;
            settings = platformSettings.apply(sections);
            boolean standalone = settings == null;
            if (standalone) {
                StandaloneValidator.Validation validation = StandaloneValidator.validate(sections);
                violations.addAll(validation.violations());
                node = validation.standalone();
                settings = node == null ? null : node.settings();
            }
            if (settings != null) {
                routeValidator = RouteValidator.begin(sections, settings, standalone, previousTable, version);
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
                        "with the platform's configuration, routes come from " + "this file",
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
                        routes.table().size()
                                + " routes in this file can't be used: with [changes], "
                                + "routes come from control machines",
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
     * Reads and validates a whole file.
     *
     * @param platformSettings returns the platform's settings for the sections other than routes, or null if the file
     *     configures a standalone node
     * @param previous the result of the previous read, or null
     * @throws IOException if the file can't be read
     */
    static ValidatedFile read(Path path, Function<List<Section>, Settings> platformSettings, ValidatedFile previous)
            throws IOException {
        TableReader reader = new TableReader(
                platformSettings,
                previous == null ? null : previous.routes.table(),
                previous == null ? 1 : previous.version + 1);
        FileIndex index = FileIndex.read(path, reader, reader.violations::add);
        return reader.finish(index);
    }

    /** Whether the file has no violations. */
    boolean isValid() {
        return violations.isEmpty();
    }

    /**
     * An error message with a line for each violation.
     *
     * @param subject the file with its verb, as in "the file is"
     */
    String describeViolations(String subject) {
        return subject + " invalid:\n" + violations.stream().map(v -> "  " + v).collect(Collectors.joining("\n"));
    }

    /**
     * Reads the file of a standalone node again. If only routes have changed, all other components of the result are
     * the same objects as here.
     *
     * @throws IOException if the file can't be read
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
        List<RouteChange> routeChanges = routeChanges(path, difference);
        if (routeChanges.isEmpty()) {
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
        RouteValidation changed = RouteValidator.validateChanges(routes.table(), routeChanges, version + 1);
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

    private List<RouteChange> routeChanges(Path path, FileIndex.Difference difference) {
        Set<String> removed = new HashSet<>(difference.removedRoutes());
        Set<String> changed = new HashSet<>();
        List<RouteChange> changes = new ArrayList<>();
        for (Section section : difference.changedRoutes()) {
            String name = RouteCodec.nameOf(section);
            changed.add(name);
            if (!removed.contains(name)) {
                changes.add(new RouteChange(Op.PUT, name, section, section.position()));
            } else if (!hasSameContent(name, section)) {
                changes.add(new RouteChange(Op.REPLACE, name, section, section.position()));
            }
        }
        for (String name : removed) {
            if (!changed.contains(name)) {
                changes.add(new RouteChange(Op.DELETE, name, null, new Position(path.toString(), 1, 1)));
            }
        }
        return changes;
    }

    /** The routes that differ from those of an earlier file; empty if one of the files is invalid. */
    List<RouteChange> routeChangesSince(ValidatedFile previous) {
        List<RouteChange> changes = new ArrayList<>();
        if (!isValid() || !previous.isValid()) {
            return changes;
        }
        byte[] firstRouteKey = new EntryKey(EntryKind.ROUTE, "").bytes();
        PackedTree current = routes.table().entries();
        PackedTree earlier = previous.routes.table().entries();
        for (PackedTree.Item item = current.ceiling(firstRouteKey);
                item != null;
                item = current.ceiling(PackedTree.successor(item.key()))) {
            PackedTree.Item earlierItem = earlier.get(item.key());
            if (earlierItem == null || !Arrays.equals(earlierItem.value(), item.value())) {
                changes.add(new RouteChange(
                        earlierItem == null ? Op.PUT : Op.REPLACE,
                        EntryKey.of(item.key()).name(),
                        null,
                        null));
            }
        }
        for (PackedTree.Item item = earlier.ceiling(firstRouteKey);
                item != null;
                item = earlier.ceiling(PackedTree.successor(item.key()))) {
            if (!current.contains(item.key())) {
                changes.add(new RouteChange(Op.DELETE, EntryKey.of(item.key()).name(), null, null));
            }
        }
        return changes;
    }

    /** Whether a route has the same settings as before, whatever its formatting. */
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
