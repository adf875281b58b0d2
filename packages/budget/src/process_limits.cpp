#include "budget/process_limits.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>

namespace budget {

namespace {

// Hundredths of the memory. The rest is the process itself: its code, the configuration and what it knows of
// the fleet.
constexpr std::size_t kForCallers = 20, kForCallersConnections = 25;
constexpr std::size_t kForOperators = 10, kForOperatorsConnections = 3;
constexpr std::size_t kForNodes = 10, kForNodesConnections = 6;
constexpr std::size_t kForAll = kForCallers + kForOperators + kForNodes;
constexpr std::size_t kForParsing = 15;  // of the process itself
constexpr std::size_t kForWaiting = 4;   // at the callers' port
// What a connection takes beside what it is counted to hold, in bytes. A caller's has one to a server.
constexpr std::size_t kOfCaller = kConnectionBytes + 2 * kReceiveBuffer;
constexpr std::size_t kOfOperator = kConnectionBytes + kReceiveBuffer;
constexpr std::size_t kOfNode = 4 * 1024 + kReceiveBuffer;
// Sixteenths of the descriptors. The rest is files, timers and ports.
constexpr std::size_t kCallersOf16 = 5, kServersOf16 = 5, kOperatorsOf16 = 2, kNodesOf16 = 3;
constexpr std::size_t kMostWaiting = 512, kLeastWaiting = 16, kOthersOfWaiting = 4;
constexpr std::size_t kAllOf16 = kCallersOf16 + kServersOf16 + kOperatorsOf16 + kNodesOf16;
constexpr std::size_t kMostCallers = 4096, kMostOperators = 256, kMostNodes = 4096;
constexpr std::size_t kLeastConnections = 4;

std::size_t machine_memory() {
    const long pages = ::sysconf(_SC_PHYS_PAGES), size = ::sysconf(_SC_PAGE_SIZE);
    return static_cast<std::size_t>(std::max(0L, pages)) * static_cast<std::size_t>(std::max(0L, size));
}

std::size_t system_descriptors() {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return 1024;
    return static_cast<std::size_t>(std::min<rlim_t>(limit.rlim_cur, 1 << 20));
}

std::size_t hundredths(std::size_t memory, std::size_t share) { return memory / 100 * share; }

int waiting_of(std::size_t memory, std::size_t part) {
    const std::size_t waiting = hundredths(memory, kForWaiting) / kReceiveBuffer / part;
    return static_cast<int>(std::clamp(waiting, kLeastWaiting, kMostWaiting));
}

std::size_t connections_of(std::size_t memory, std::size_t each, std::size_t descriptors, std::size_t most) {
    return std::max(kLeastConnections, std::min({memory / each, descriptors, most}));
}

}  // namespace

ProcessLimits::ProcessLimits(std::size_t memory, std::size_t descriptors)
    : ProcessLimits(Told{memory > 0 ? memory : machine_memory(),
                         descriptors > 0 ? descriptors : system_descriptors()}) {}

ProcessLimits::ProcessLimits(const Told& told)
    : parsing(hundredths(told.memory, kForParsing)),
      callers_waiting(waiting_of(told.memory, 1)),
      others_waiting(waiting_of(told.memory, kOthersOfWaiting)),
      idle_servers(told.descriptors * kServersOf16 / 16),
      bytes(hundredths(told.memory, kForAll)),
      connections(told.descriptors * kAllOf16 / 16),
      callers(hundredths(told.memory, kForCallers),
              connections_of(hundredths(told.memory, kForCallersConnections), kOfCaller,
                             told.descriptors * kCallersOf16 / 16, kMostCallers),
              &bytes, &connections),
      operators(hundredths(told.memory, kForOperators),
                connections_of(hundredths(told.memory, kForOperatorsConnections), kOfOperator,
                               told.descriptors * kOperatorsOf16 / 16, kMostOperators),
                &bytes, &connections),
      nodes(hundredths(told.memory, kForNodes),
            connections_of(hundredths(told.memory, kForNodesConnections), kOfNode,
                           told.descriptors * kNodesOf16 / 16, kMostNodes),
            &bytes, &connections) {}

}  // namespace budget
