#pragma once
/// Back-end servers of a soak, all in this process: each request is entered in the ledger as it arrives, is
/// worked on for a drawn time, and ends early where its connection closes, as most servers do. Some are
/// answered with a drawn status in place of 200, which may be one that no standard names.
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "mime/soak_ledger.hpp"
#include "pith/error.hpp"
#include "pith/hash.hpp"

namespace mime {

/// Field of a server's answers that names its instance.
constexpr const char* kServerField = "Soak-Server";

class SoakServer : public std::enable_shared_from_this<SoakServer> {
  public:
    SoakServer(boost::asio::io_context& io, SoakLedger& ledger, std::string service, std::string instance,
               std::uint64_t seed);
    ~SoakServer();
    SoakServer(const SoakServer&) = delete;
    SoakServer& operator=(const SoakServer&) = delete;

    /// Listens at a free port of `ip`; gives its address.
    pith::Result<std::string> open(const std::string& ip);
    const std::string& service() const;
    const std::string& instance() const;
    /// Work lasts so many times as long from now on.
    void slow(double times);
    /// Accepts no more and ends all connections.
    void close();

  private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

}  // namespace mime
