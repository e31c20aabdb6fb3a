package vetchpost.standalone;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.UnaryOperator;

/**
 * Assigns requests to classes by method, path and headers, and to tenants by header or host. The first rule of the file
 * that matches applies; validation rejects files whose rules leave requests unassigned. Called for each request on the
 * event loop; immutable.
 */
public final class Classifier {
    private final List<RequestRule> rules;
    private final Map<String, Integer> tenantsByHost;
    private final Map<String, Integer> tenantsByName;
    private final String tenantHeader;

    /**
     * Creates a classifier.
     *
     * @param rules one for each class of the settings, in their order
     * @param tenantsByHost index of a tenant by host name, in lower case
     * @param tenantsByName index of a tenant by its name
     * @param tenantHeader the header that names a tenant; empty for none
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
     * @param header returns a header's value by name, or null
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

    /**
     * The index of a request's tenant, or -1 if unknown: by the tenant header if present, else by host.
     *
     * @param host value of the Host header, or null
     * @param header returns a header's value by name, or null
     */
    public int tenantOf(String host, UnaryOperator<String> header) {
        String tenantName = tenantHeader.isEmpty() ? null : header.apply(tenantHeader);
        if (tenantName != null) {
            return tenantsByName.getOrDefault(tenantName, -1);
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
