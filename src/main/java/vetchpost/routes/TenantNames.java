package vetchpost.routes;

import java.util.AbstractList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import vetchpost.decision.Balancer.Tenant;

/** Finds tenants by name among any number, for four bytes each. */
final class TenantNames implements RouteValidator.Tenants {
    private final List<Tenant> tenants;
    /** Their indexes, by the order of their names. */
    private final int[] indexesByName;

    TenantNames(List<Tenant> tenants) {
        this.tenants = tenants;
        Integer[] places = new Integer[tenants.size()];
        Arrays.setAll(places, i -> i);
        Arrays.sort(places, Comparator.comparing(i -> tenants.get(i).name()));
        indexesByName = Arrays.stream(places).mapToInt(Integer::intValue).toArray();
    }

    /** The index of a tenant, or -1. */
    int indexOf(String name) {
        int low = 0;
        int high = indexesByName.length - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            int order = tenants.get(indexesByName[middle]).name().compareTo(name);
            if (order == 0) {
                return indexesByName[middle];
            }
            if (order < 0) {
                low = middle + 1;
            } else {
                high = middle - 1;
            }
        }
        return -1;
    }

    @Override
    public boolean contains(String name) {
        return indexOf(name) >= 0;
    }

    /** The name of one, by its index; empty for an index that is none. */
    String nameAt(int index) {
        return index >= 0 && index < tenants.size() ? tenants.get(index).name() : "";
    }

    /** All names, in the order of the settings. */
    @Override
    public List<String> names() {
        return new AbstractList<>() {
            @Override
            public String get(int index) {
                return tenants.get(index).name();
            }

            @Override
            public int size() {
                return tenants.size();
            }
        };
    }
}
