#pragma once
/// The memory and the descriptors of a process, shared out between what may hold them (docs/design.md 7.10).
#include <cstddef>
#include <memory>

#include "budget/account.hpp"

namespace budget {

constexpr std::size_t kReceiveBuffer = 32 * 1024;  ///< bytes that may lie unread in a connection
constexpr std::size_t kSendBuffer = 64 * 1024;     ///< bytes that may lie unsent in it
constexpr std::size_t kUnparsedBytes = 16 * 1024;  ///< read and not yet parsed, of each connection
constexpr std::size_t kConnectionBytes = 24 * 1024 + kUnparsedBytes;  ///< its stack and objects, and these

/// What the connections of one kind may hold, of all threads together.
struct Share {
    Share(std::size_t bytes_limit, std::size_t connections_limit, Account* all_bytes,
          Account* all_connections)
        : bytes(bytes_limit, all_bytes), connections(connections_limit, all_connections) {}
    Account bytes;
    Account connections;
};

class ProcessLimits {
  public:
    /// `memory` in bytes and `descriptors`, of this process; 0: the machine's memory, the system's limit.
    ProcessLimits(std::size_t memory, std::size_t descriptors);
    ProcessLimits(const ProcessLimits&) = delete;
    ProcessLimits& operator=(const ProcessLimits&) = delete;

  private:
    struct Told {
        std::size_t memory, descriptors;
    };
    explicit ProcessLimits(const Told& told);

  public:
    const std::size_t parsing;  ///< bytes that one parsed JSON text may take
    /// Connections that may wait to be accepted, at the callers' port; unread bytes lie in them, too.
    const int callers_waiting;
    const int others_waiting;        ///< the same at each other port
    const std::size_t idle_servers;  ///< connections to servers that are kept for later requests
    Account bytes;                   ///< of all shares
    Account connections;             ///< of all shares
    Share callers;                   ///< with what is held for them at servers
    Share operators;
    Share nodes;
};

}  // namespace budget
