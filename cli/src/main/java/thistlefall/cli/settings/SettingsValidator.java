package thistlefall.cli.settings;

import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import thistlefall.Ports.Repeat;
import thistlefall.edge.settings.NodeSettings;

/** Validates a node's settings beyond their types and adds what it finds to the file's errors. */
public final class SettingsValidator {
    private final ValidationErrors errors;

    private SettingsValidator(ValidationErrors errors) {
        this.errors = errors;
    }

    /** Reads and validates the settings file of a node. */
    public static NodeSettings readNodeSettings(Path file) throws InvalidFileException {
        JsonnetFile.ReadResult<NodeSettings> result = JsonnetFile.read(file, NodeSettings.class);
        if (result.value() != null) {
            SettingsValidator validator = new SettingsValidator(result.errors());
            validator.checkSharedSettings(result.value(), "");
            validator.checkNodeSettings(result.value());
        }
        return result.orThrow();
    }

    /** Validates the settings that a day shares with a node; {@code path} is the prefix of the errors. */
    static void checkTemplate(NodeSettings settings, ValidationErrors errors, String path) {
        new SettingsValidator(errors).checkSharedSettings(settings, path);
    }

    /** Adds an error if the value is null, an empty text or an empty list; returns whether the value is present. */
    private boolean require(Object value, String path) {
        if (value == null
                || value instanceof String text && text.isEmpty()
                || value instanceof List<?> list && list.isEmpty()) {
            errors.add(path, "is needed");
            return false;
        }
        return true;
    }

    /** Checks the settings that nodes and days have in common. */
    private void checkSharedSettings(NodeSettings settings, String path) {
        String prefix = path.isEmpty() ? "" : path + ".";
        if (require(settings.classes(), prefix + "classes")) {
            for (int i = 0; i < settings.classes().size(); i++) {
                checkClass(settings.classes().get(i), prefix + "classes[" + i + "]");
            }
            checkUniqueNames(
                    settings.classes().stream()
                            .map(NodeSettings.ClassSettings::name)
                            .toList(),
                    prefix + "classes",
                    "class");
        }
        if (require(settings.plans(), prefix + "plans")) {
            for (int i = 0; i < settings.plans().size(); i++) {
                checkPlan(settings.plans().get(i), prefix + "plans[" + i + "]");
            }
            checkUniqueNames(
                    settings.plans().stream()
                            .map(NodeSettings.PlanSettings::name)
                            .toList(),
                    prefix + "plans",
                    "plan");
        }
        if (require(settings.routes(), prefix + "routes") && settings.classes() != null) {
            List<String> classNames = settings.classes().stream()
                    .map(NodeSettings.ClassSettings::name)
                    .toList();
            for (int i = 0; i < settings.routes().size(); i++) {
                checkRoute(settings.routes().get(i), classNames, prefix + "routes[" + i + "]");
            }
        }
        if (settings.access() != null
                && settings.access().defaultPlan() != null
                && settings.plans() != null
                && settings.plans().stream()
                        .noneMatch(p -> settings.access().defaultPlan().equals(p.name()))) {
            errors.add(
                    prefix + "access.default_plan",
                    "no such plan: " + settings.access().defaultPlan());
        }
        if (settings.counter() != null
                && settings.counter().largest() != null
                && settings.counter().largest() <= 0) {
            errors.add(prefix + "counter.largest", "must be more than 0");
        }
        checkRules(settings, prefix);
    }

    private void checkRules(NodeSettings settings, String prefix) {
        var rules = settings.rules();
        if (rules == null) {
            return;
        }
        if (rules.coldFrom() <= 0 || rules.coldFrom() > 1) {
            errors.add(prefix + "rules.cold_from", "must be more than 0 and at most 1");
        }
        if (rules.fallMultiple() < 1) {
            errors.add(prefix + "rules.fall_multiple", "must be 1 or more");
        }
    }

    private void checkUniqueNames(List<String> names, String path, String kind) {
        Set<String> seenNames = new HashSet<>();
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i) != null && !seenNames.add(names.get(i))) {
                errors.add(path + "[" + i + "].name", "a second " + kind + " of this name: " + names.get(i));
            }
        }
    }

    private void checkClass(NodeSettings.ClassSettings classSettings, String path) {
        require(classSettings.name(), path + ".name");
        require(classSettings.repeat(), path + ".repeat");
        boolean bothPresent =
                require(classSettings.aim(), path + ".aim") & require(classSettings.deadline(), path + ".deadline");
        if (bothPresent && classSettings.aim().compareTo(classSettings.deadline()) > 0) {
            errors.add(
                    path + ".aim",
                    "is later than the deadline, " + classSettings.deadline().toMillis() + " ms");
        }
        if (classSettings.deadline() != null && classSettings.deadline().compareTo(Duration.ofMillis(50)) < 0) {
            errors.add(path + ".deadline", "must be 50ms or more: the node keeps 30ms of it to answer in time");
        }
        if (classSettings.repeat() == Repeat.KEYED) {
            require(classSettings.keyWindow(), path + ".key_window");
            require(classSettings.group(), path + ".group");
        } else if (classSettings.keyWindow() != null || classSettings.group() != null) {
            errors.add(
                    path + (classSettings.keyWindow() != null ? ".key_window" : ".group"),
                    "only a keyed class has one; this is "
                            + (classSettings.repeat() == null
                                    ? "none"
                                    : classSettings.repeat().name().toLowerCase(java.util.Locale.ROOT)));
        }
        if (classSettings.lateValue() > 1) {
            errors.add(path + ".late_value", "is a part of the worth, from 0 to 1");
        }
        if (classSettings.worth() <= 0) {
            errors.add(path + ".worth", "must be more than 0");
        }
    }

    private void checkPlan(NodeSettings.PlanSettings plan, String path) {
        require(plan.name(), path + ".name");
        if (plan.rate() > 0 && plan.burst() <= 0) {
            errors.add(path + ".burst", "a plan with a rate needs a burst");
        }
        if (plan.ceilingRate() > 0 && plan.ceilingBurst() <= 0) {
            errors.add(path + ".ceiling_burst", "a plan with a ceiling needs a burst of it");
        }
        if (plan.ceilingRate() == 0 && (plan.ceilingBurst() > 0 || plan.ceilingSlack() > 0)) {
            errors.add(path + ".ceiling_rate", "is needed with the other figures of a ceiling");
        }
    }

    private void checkRoute(NodeSettings.RouteSettings route, List<String> classNames, String path) {
        if (require(route.path(), path + ".path") && !route.path().startsWith("/")) {
            errors.add(path + ".path", "must begin with /");
        }
        if (require(route.requestClass(), path + ".class") && !classNames.contains(route.requestClass())) {
            errors.add(
                    path + ".class",
                    "no such class: " + route.requestClass() + "; there are " + String.join(", ", classNames));
        }
        if (route.units() != null && route.units() <= 0) {
            errors.add(path + ".units", "must be more than 0");
        }
    }

    /** Checks the settings that only a node's file has. */
    private void checkNodeSettings(NodeSettings settings) {
        if (require(settings.node(), "node")) {
            require(settings.node().name(), "node.name");
            if (settings.node().name() != null && !settings.node().name().matches("[A-Za-z0-9._-]{1,64}")) {
                errors.add("node.name", "may hold letters, digits, dots, dashes and underscores, 64 at most");
            }
            if (settings.node().siblings() < 1) {
                errors.add("node.siblings", "must be 1 or more: it counts this node too");
            } else if (settings.node().number() >= settings.node().siblings()) {
                errors.add(
                        "node.number",
                        "must be below siblings, " + settings.node().siblings());
            }
            if (settings.zones() != null
                    && settings.node().zone() != null
                    && !settings.zones().contains(settings.node().zone())) {
                errors.add("node.zone", "no such zone: " + settings.node().zone());
            }
        }
        if (require(settings.listen(), "listen")) {
            require(settings.listen().host(), "listen.host");
            if (settings.listen().port() > 65535) {
                errors.add("listen.port", "must be at most 65535");
            }
        }
        if (require(settings.introspection(), "introspection")) {
            checkUrl(settings.introspection().url(), "introspection.url");
            require(settings.introspection().clientId(), "introspection.client_id");
            require(settings.introspection().clientSecret(), "introspection.client_secret");
        }
        if (settings.counter() != null && require(settings.counter().parts(), "counter.parts")) {
            for (int i = 0; i < settings.counter().parts().size(); i++) {
                checkHostPort(settings.counter().parts().get(i), "counter.parts[" + i + "]");
            }
        }
        checkServers(settings.servers());
    }

    private void checkServers(NodeSettings.ServerSettings servers) {
        if (!require(servers, "servers")) {
            return;
        }
        if ((servers.file() == null) == (servers.consul() == null)) {
            errors.add("servers", "needs either file or consul");
        }
        if (servers.consul() != null) {
            checkUrl(servers.consul(), "servers.consul");
            require(servers.service(), "servers.service");
        }
        if (servers.maxConnections() != null && servers.maxConnections() < 1) {
            errors.add("servers.max_connections", "must be 1 or more");
        }
    }

    private void checkUrl(String text, String path) {
        if (!require(text, path)) {
            return;
        }
        try {
            URI url = URI.create(text);
            if (!"http".equals(url.getScheme()) || url.getHost() == null) {
                errors.add(path, "must be a URL such as http://host:port/path");
            }
        } catch (IllegalArgumentException e) {
            errors.add(path, "is no URL: " + e.getMessage());
        }
    }

    private void checkHostPort(String text, String path) {
        if (!text.matches(".+:\\d{1,5}") || Integer.parseInt(text.substring(text.lastIndexOf(':') + 1)) > 65535) {
            errors.add(path, "must be host:port");
        }
    }
}
