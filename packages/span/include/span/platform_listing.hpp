#pragma once
/// Asks the platform for its listing of servers: page after page, and where there are many, the pages of all
/// zones side by side (docs/design.md 7.2). A part of a listing is never taken for the whole. One thread.
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "pith/time.hpp"
#include "span/dialect.hpp"
#include "weft/messages.hpp"

namespace span {

struct PlatformAnswer {
    bool whole = false;
    std::vector<weft::ServerRec> servers;
    std::string why;                ///< it is not whole
    pith::Micros retry_after = 0;   ///< as the platform said
    std::size_t pages = 0;          ///< that were asked for
    pith::Micros slowest_page = 0;  ///< the time that one page took at the most
};

class PlatformListing {
  public:
    /// `question_in`: how long a question may take. `calls` counts each page that is asked for.
    PlatformListing(boost::asio::io_context& io, std::string address, const Dialect& dialect,
                    pith::Micros question_in, std::atomic<std::uint64_t>* calls);
    using PageRead = std::function<void(const std::vector<weft::ServerRec>&)>;
    /// `page_read` is called with each page as soon as it is there. Fails where it takes too long.
    PlatformAnswer ask(const PageRead& page_read, boost::asio::yield_context yield);

  private:
    /// One question: until when it may take, and who hears of each page.
    struct Question {
        pith::Micros until = 0;
        const PageRead& page_read;
    };
    PlatformAnswer ask_pages(const Question& question, const std::string& zone,
                             boost::asio::yield_context yield);
    PlatformAnswer ask_zones(const Question& question, boost::asio::yield_context yield);
    PlatformAnswer ask_all(const Question& question, boost::asio::yield_context yield);

    boost::asio::io_context& io_;
    std::string address_;
    const Dialect& dialect_;
    pith::Micros question_in_;
    std::atomic<std::uint64_t>* calls_;
    std::set<std::string> zones_;  // of all servers that were ever listed
    std::size_t pages_ = 0;        // of the last listing that was asked for as one
    int until_all_ = 0;            // questions until it is asked for as one again, for zones that are new
};

}  // namespace span
