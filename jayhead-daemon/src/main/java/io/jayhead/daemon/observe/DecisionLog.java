package io.jayhead.daemon.observe;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Writes one log line for each decision and keeps the lines of a limited number of requests for operators. Beyond the
 * limit, the lines of the request with the oldest first decision are dropped.
 */
public final class DecisionLog {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final int REQUESTS_MAX = 4_096;

    private final Map<String, List<String>> linesByRequest = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, List<String>> eldest) {
            return size() > REQUESTS_MAX;
        }
    };

    /**
     * Logs a decision.
     *
     * @param stage the stage that decided, such as {@code admission} or {@code routing}
     * @param requestId the id of the request; {@code -} if the decision belongs to none
     * @param format the decision as {@code name=value} pairs, in the syntax of {@link String#format}
     * @param arguments the arguments of the format
     */
    public void record(String stage, String requestId, String format, Object... arguments) {
        String line = "decision stage=" + stage + " request=" + requestId + " " + String.format(format, arguments);
        LOGGER.atInfo().log("%s", line);
        synchronized (linesByRequest) {
            linesByRequest.computeIfAbsent(requestId, key -> new ArrayList<>()).add(line);
        }
    }

    /**
     * Returns the log lines of a request.
     *
     * @param requestId the request
     * @return the log lines, oldest first; empty if this router has none or no longer keeps them
     */
    public List<String> explain(String requestId) {
        synchronized (linesByRequest) {
            return List.copyOf(linesByRequest.getOrDefault(requestId, List.of()));
        }
    }
}
