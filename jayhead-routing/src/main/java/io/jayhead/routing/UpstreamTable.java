package io.jayhead.routing;

import io.jayhead.model.UpstreamName;
import java.util.AbstractMap;
import java.util.AbstractSet;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Maps a fixed set of upstreams to their states; immutable.
 *
 * <p>An update copies only the array of states and shares the names and positions. Copying a map of 600 upstreams for
 * each load report would take more processor time than all other work on the report.
 */
final class UpstreamTable extends AbstractMap<UpstreamName, UpstreamState> {

    private final Map<UpstreamName, Integer> positions;
    private final UpstreamName[] names;
    private final UpstreamState[] states;

    private UpstreamTable(Map<UpstreamName, Integer> positions, UpstreamName[] names, UpstreamState[] states) {
        this.positions = positions;
        this.names = names;
        this.states = states;
    }

    static UpstreamTable copyOf(Map<UpstreamName, UpstreamState> upstreams) {
        if (upstreams instanceof UpstreamTable table) {
            return table;
        }
        UpstreamName[] names = upstreams.keySet().toArray(new UpstreamName[0]);
        UpstreamState[] states = new UpstreamState[names.length];
        Map<UpstreamName, Integer> positions = new HashMap<>();
        for (int position = 0; position < names.length; position++) {
            states[position] = Objects.requireNonNull(upstreams.get(names[position]));
            positions.put(names[position], position);
        }
        return new UpstreamTable(positions, names, states);
    }

    /** Returns a table with a new state for an upstream that this table contains. */
    UpstreamTable with(UpstreamName name, UpstreamState state) {
        UpstreamState[] changed = states.clone();
        changed[positions.get(name)] = Objects.requireNonNull(state);
        return new UpstreamTable(positions, names, changed);
    }

    @Override
    public UpstreamState get(Object name) {
        Integer position = positions.get(name);
        return position == null ? null : states[position];
    }

    @Override
    public boolean containsKey(Object name) {
        return positions.containsKey(name);
    }

    @Override
    public Set<Entry<UpstreamName, UpstreamState>> entrySet() {
        return new Entries();
    }

    private final class Entries extends AbstractSet<Entry<UpstreamName, UpstreamState>> {

        @Override
        public Iterator<Entry<UpstreamName, UpstreamState>> iterator() {
            return IntStream.range(0, names.length)
                    .mapToObj(position -> Map.entry(names[position], states[position]))
                    .iterator();
        }

        @Override
        public int size() {
            return names.length;
        }
    }
}
