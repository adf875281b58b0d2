#include "span/platform_listing.hpp"

#include <algorithm>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <iterator>
#include <memory>

#include "span/listing.hpp"
#include "weft/desk.hpp"

namespace span {

namespace asio = boost::asio;
using pith::Kind;
using pith::Micros;

namespace {
constexpr int kMostPages = 1000;
constexpr std::size_t kManyPages = 3;  // from so many on zones are asked for side by side
constexpr int kAllEach = 30;           // questions
constexpr int kMostRetrySeconds = 30;
}  // namespace

PlatformListing::PlatformListing(asio::io_context& io, std::string address, const Dialect& dialect,
                                 Micros question_in, std::atomic<std::uint64_t>* calls)
    : io_(io), address_(std::move(address)), dialect_(dialect), question_in_(question_in), calls_(calls) {}

PlatformAnswer PlatformListing::ask_pages(const Question& question, const std::string& zone,
                                          asio::yield_context yield) {
    PlatformAnswer part;
    std::string next;
    for (int i = 0; i < kMostPages; ++i) {
        ++*calls_;
        ++part.pages;
        std::string query;
        if (!zone.empty()) query = "?" + dialect_.zone_query + "=" + zone;
        if (!next.empty()) query += (query.empty() ? "?" : "&") + dialect_.page_query + "=" + next;
        const Micros begun = pith::mono_now();
        const auto answer =
            weft::call(io_, address_, {weft::http::verb::get, dialect_.list_target + query, 11},
                       std::max<Micros>(1, question.until - begun), yield);
        part.slowest_page = std::max(part.slowest_page, pith::mono_now() - begun);
        std::vector<weft::ServerRec> page;
        const bool sound =
            answer && answer->result_int() == 200 && read_listing(answer->body(), &page, &next);
        if (!sound) {
            part.why = answer ? "status " + std::to_string(answer->result_int()) : answer.error().message;
            if (answer && answer->find(weft::http::field::retry_after) != answer->end())
                part.retry_after =
                    std::min(kMostRetrySeconds,
                             std::atoi(std::string((*answer)[weft::http::field::retry_after]).c_str())) *
                    pith::kSecond;
            return part;
        }
        question.page_read(page);
        std::move(page.begin(), page.end(), std::back_inserter(part.servers));
        if (!next.empty()) continue;
        part.whole = true;
        return part;
    }
    part.why = "more than " + std::to_string(kMostPages) + " pages";
    return part;
}

PlatformAnswer PlatformListing::ask_all(const Question& question, asio::yield_context yield) {
    auto answer = ask_pages(question, {}, yield);
    if (!answer.whole) return answer;
    until_all_ = kAllEach;
    pages_ = answer.pages;
    for (const auto& server : answer.servers) zones_.insert(server.locality);
    return answer;
}

PlatformAnswer PlatformListing::ask_zones(const Question& question, asio::yield_context yield) {
    struct Together {
        explicit Together(asio::io_context& io) : done(io, asio::steady_timer::time_point::max()) {}
        asio::steady_timer done;
        std::vector<PlatformAnswer> parts;
    };
    const auto together = std::make_shared<Together>(io_);
    for (const auto& zone : zones_)
        asio::spawn(
            io_,
            [this, &question, zone, together](asio::yield_context inner) {
                together->parts.push_back(ask_pages(question, zone, inner));
                together->done.cancel();
            },
            asio::detached);
    boost::system::error_code ec;
    while (together->parts.size() < zones_.size()) together->done.async_wait(yield[ec]);
    PlatformAnswer answer;
    for (auto& part : together->parts) {
        if (!part.whole) return std::move(part);
        answer.servers.insert(answer.servers.end(), part.servers.begin(), part.servers.end());
        answer.pages += part.pages;
        answer.slowest_page = std::max(answer.slowest_page, part.slowest_page);
    }
    answer.whole = true;
    return answer;
}

PlatformAnswer PlatformListing::ask(const PageRead& page_read, asio::yield_context yield) {
    const Question question{pith::mono_now() + question_in_, page_read};
    const bool nameless = zones_.count("") != 0;
    if (pages_ < kManyPages || zones_.size() < 2 || nameless || --until_all_ <= 0)
        return ask_all(question, yield);
    return ask_zones(question, yield);
}

}  // namespace span
