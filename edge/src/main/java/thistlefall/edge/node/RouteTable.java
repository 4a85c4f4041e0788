package thistlefall.edge.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import thistlefall.edge.settings.NodeSettings;

/** Finds the class and the estimated cost of a request by the first matching route in the settings. Immutable. */
final class RouteTable {
    /** The class of a route's requests and how their cost in units is estimated. */
    record Route(int requestClass, String className, double units, double minUnits, String unitsField) {}

    private record RouteMatcher(String method, String path, boolean prefix, Route route) {
        boolean matches(String requestMethod, String requestPath) {
            return (method == null || method.equals(requestMethod))
                    && (prefix ? requestPath.startsWith(path) : requestPath.equals(path));
        }
    }

    private final List<RouteMatcher> matchers = new ArrayList<>();

    RouteTable(NodeSettings settings) {
        Map<String, Integer> classIndexes = new HashMap<>();
        for (int i = 0; i < settings.classes().size(); i++) {
            classIndexes.put(settings.classes().get(i).name(), i);
        }
        for (var route : settings.routes()) {
            boolean prefix = route.path().endsWith("*");
            String path = prefix ? route.path().substring(0, route.path().length() - 1) : route.path();
            matchers.add(new RouteMatcher(
                    route.method(),
                    path,
                    prefix,
                    new Route(
                            classIndexes.get(route.requestClass()),
                            route.requestClass(),
                            defaultUnits(route),
                            route.leastUnits() == null ? Math.min(1, defaultUnits(route)) : route.leastUnits(),
                            route.unitsField() == null
                                    ? null
                                    : route.unitsField().toLowerCase(Locale.ROOT))));
        }
    }

    private static double defaultUnits(NodeSettings.RouteSettings route) {
        return route.units() == null ? 1 : route.units();
    }

    Route find(String method, String path) {
        for (RouteMatcher matcher : matchers) {
            if (matcher.matches(method, path)) {
                return matcher.route;
            }
        }
        return null;
    }
}
