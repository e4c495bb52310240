package io.jayhead.scenarios.link;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** Finds the process that owns the local end of a TCP connection, from {@code /proc} on Linux. */
final class SocketOwner {

    private static final int LOCAL_ADDRESS_FIELD = 1;
    private static final int INODE_FIELD = 9;

    private SocketOwner() {}

    /**
     * Finds the owner of a local port among registered processes.
     *
     * @param localPort the local port of the socket
     * @param pids the process ids by name
     * @return the name of the owner, or empty if none of the processes owns the socket
     */
    static Optional<String> find(int localPort, Map<String, Long> pids) {
        return Stream.of("/proc/net/tcp6", "/proc/net/tcp")
                .flatMap(table -> inodes(table, localPort).stream())
                .flatMap(inode -> pids.entrySet().stream()
                        .filter(entry -> owns(entry.getValue(), inode))
                        .map(Map.Entry::getKey))
                .findFirst();
    }

    private static List<String> inodes(String table, int localPort) {
        String suffix = String.format(Locale.ROOT, ":%04X", localPort);
        try (Stream<String> lines = Files.lines(Path.of(table))) {
            return lines.map(line -> line.strip().split("\\s+"))
                    .filter(fields -> fields.length > INODE_FIELD && fields[LOCAL_ADDRESS_FIELD].endsWith(suffix))
                    .map(fields -> fields[INODE_FIELD])
                    .filter(inode -> !inode.equals("0"))
                    .toList();
        } catch (IOException e) {
            return List.of();
        }
    }

    private static boolean owns(long pid, String inode) {
        String socketLink = "socket:[" + inode + "]";
        try (Stream<Path> files = Files.list(Path.of("/proc/" + pid + "/fd"))) {
            return files.anyMatch(file -> socketLink.equals(linkTarget(file)));
        } catch (IOException e) {
            return false;
        }
    }

    private static String linkTarget(Path file) {
        try {
            return Files.readSymbolicLink(file).toString();
        } catch (IOException e) {
            return "";
        }
    }
}
