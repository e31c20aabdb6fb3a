package vetchpost.standalone;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.UnaryOperator;

/**
 * Tells by method, path and fields to which class and tenant a request belongs. The first rule of the file
 * that matches counts; a file whose rules leave any request out is refused before it comes here.
 */
public final class Classifier {
    private final List<RequestRule> rules;
    private final Map<String, Integer> tenantsByHost;
    private final Map<String, Integer> tenantsByName;
    private final String tenantHeader;

    /**
     * By these rules.
     *
     * @param rules one for each class of the settings, in their order
     * @param tenantsByHost index of a tenant by a host's name, in lower case
     * @param tenantsByName index of a tenant by its name
     * @param tenantHeader the field that names a tenant; empty where none does
     */
    public Classifier(
            List<RequestRule> rules,
            Map<String, Integer> tenantsByHost,
            Map<String, Integer> tenantsByName,
            String tenantHeader) {
        this.rules = List.copyOf(rules);
        this.tenantsByHost = Map.copyOf(tenantsByHost);
        this.tenantsByName = Map.copyOf(tenantsByName);
        this.tenantHeader = tenantHeader;
    }

    /**
     * The index of a request's class, or -1 if no rule matches.
     *
     * @param target path and query
     * @param header gives a field's value by its name, or null
     */
    public int classOf(String method, String target, UnaryOperator<String> header) {
        String path = pathOf(target);
        for (int i = 0; i < rules.size(); i++) {
            RequestRule rule = rules.get(i);
            if (rule.matches(method, path, rule.header().isEmpty() || header.apply(rule.header()) != null)) {
                return i;
            }
        }
        return -1;
    }

    /** The index of a request's tenant, or -1: by the field that names it, else by its host. */
    public int tenantOf(String host, UnaryOperator<String> header) {
        String named = tenantHeader.isEmpty() ? null : header.apply(tenantHeader);
        if (named != null) {
            return tenantsByName.getOrDefault(named, -1);
        }
        return tenantsByHost.isEmpty() || host == null
                ? -1
                : tenantsByHost.getOrDefault(hostName(host).toLowerCase(Locale.ROOT), -1);
    }

    private static String pathOf(String target) {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** A host without its port. */
    static String hostName(String host) {
        int colon = host.lastIndexOf(':');
        return colon < 0 || host.endsWith("]") ? host : host.substring(0, colon);
    }
}
