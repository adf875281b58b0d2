#pragma once
// A process's settings: a JSON file, then flags over it, each checked (docs/design.md 2.2).
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pith/error.hpp"

namespace pith {

struct Place {
    std::string name;
    std::string address;
};

// name, is a list
#define PITH_SETTINGS(X)                                                              \
    X(fleet, "name of the fleet; strangers' frames are dropped")                      \
    X(name, "this process's name, unique in the fleet")                               \
    X(locality, "the zone that this machine is in")                                   \
    X(weft, "IP:PORT for frames between processes")                                   \
    X(visits, "IP:PORT for callers (proxy)")                                          \
    X(operator_address, "IP:PORT for operators: /ready /live /metrics and helm")      \
    X(platform, "IP:PORT of the platform's listing of servers")                       \
    X(data, "folder for what must last (keeper)")                                     \
    X(secret_file, "file with the fleet's shared secret, 32 bytes as hex")            \
    X(log_level, "debug, info, warn or error")                                        \
    X(frames, "zeromq, or plain sockets between processes")                           \
    X(operator_token, "word that helm must bring for commands that change a process") \
    X(old_numbers, "refuse or acknowledge: pushes at or below the number that stands (keeper)")

// What operators' rules bind a fleet to; the defaults are the product's own (docs/operators.md).
struct Bounds {
    double quota_window_s = 5, quota_over = 0.1, quota_slack = 0;  // an allowance's error, over all nodes
    double retry_window_s = 10, retry_ratio = 0.2, retry_slack = 10;
    std::int64_t drain_us = 2000000;   // a server known to leave gets no request after it
    std::int64_t grace_us = 6000000;   // from SIGTERM to the end
    std::int64_t config_us = 2000000;  // an acknowledged bundle is in force
};

struct Settings {
#define X(n, d) std::string n;
    PITH_SETTINGS(X)
#undef X
    int threads = 2;
    std::vector<std::string> seeds;
    std::vector<Place> keepers;  // none: they are discovered (docs/design.md 5.7)
    bool first_start = false;    // this keeper may take part in founding the electorate
    std::vector<std::string> signers;
    std::string secret;  // read from secret_file, never logged
    std::string ready_address;  // IP:PORT for /ready alone, where the platform looks elsewhere than at operators'
    Bounds bounds;
    std::size_t memory_mb = 0, descriptors = 0;  // this process's limits; 0: not said
};

// text of the file, values of flags by name; `role` decides what must be there.
Result<Settings> read_settings(const std::string& role, const std::string& text,
                               const std::map<std::string, std::string>& flags);
bool address_ok(const std::string& a);
Result<std::string> read_file(const std::string& path, std::size_t limit);

}  // namespace pith
