#include "mime/soak_callers.hpp"

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <cmath>
#include <memory>
#include <optional>

#include "mime/soak_servers.hpp"
#include "pith/hash.hpp"
#include "weft/desk.hpp"

namespace mime {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Code = boost::system::error_code;

namespace {
constexpr int kMostPauseMs = 20;                    // before another proxy is tried
constexpr int kWaitBeyondMs = 3000;                 // for an answer, beyond the deadline
constexpr int kLeastStayMs = 5, kMostStayMs = 500;  // of a caller that leaves
enum class Leaving { close, reset, half_close, behind_bytes };
constexpr const char* kLeaving[] = {"close", "reset", "half-close", "close behind bytes"};
}  // namespace

struct SoakCallers::Caller {
    Caller(SoakCallers& all, int number)
        : all_(all),
          number_(number),
          random_(all.plan_.seed * 1000 + static_cast<std::uint64_t>(number)),
          timer_(all.io_) {}

    void run(asio::yield_context yield) {
        while (!all_.stopping_) {
            pause(-std::log(1 - random_.unit()) * all_.plan_.think_s * 1000, yield);
            if (!stream_ && !connect(yield)) continue;
            request(yield);
        }
    }

  private:
    void pause(double milliseconds, asio::yield_context yield) {
        Code ec;
        timer_.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(milliseconds * 1000)));
        timer_.async_wait(yield[ec]);
    }

    bool connect(asio::yield_context yield) {
        proxy_ = random_.below(all_.plan_.addresses.size());
        if (all_.takes_new_(proxy_)) {
            auto fresh = std::make_unique<beast::tcp_stream>(all_.io_);
            Code ec;
            fresh->expires_after(std::chrono::seconds(1));
            fresh->async_connect(weft::endpoint(all_.plan_.addresses[proxy_]), yield[ec]);
            if (!ec) {
                stream_ = std::move(fresh);
                buffer_.clear();
                return true;
            }
        }
        pause(static_cast<double>(random_.below(kMostPauseMs)), yield);
        return false;
    }

    std::string text(const std::string& try_id, bool write) const {
        const auto& service =
            all_.plan_.services[static_cast<std::size_t>(number_) % all_.plan_.services.size()];
        const auto& key = all_.plan_.keys[static_cast<std::size_t>(number_) % all_.plan_.keys.size()];
        const std::string body = write ? "{\"bid\":\"" + try_id + "\"}" : "";
        return (write ? "POST /" + service : "GET /" + service + "/1") +
               " HTTP/1.1\r\nHost: soak\r\nMarble-Key: " + key + "\r\nMarble-Try: " + try_id +
               "\r\nMarble-Deadline-Ms: " + std::to_string(all_.plan_.deadline_ms) +
               (write ? "\r\nContent-Length: " + std::to_string(body.size()) : "") + "\r\n\r\n" + body;
    }

    void request(asio::yield_context yield) {
        const bool write = random_.unit() < all_.plan_.write_share;
        const bool leaves = random_.unit() < all_.plan_.leave_share;
        const std::string try_id = "s" + std::to_string(all_.plan_.seed) + "-" + std::to_string(number_) +
                                   "-" + std::to_string(requests_++);
        all_.ledger_.sent(try_id, all_.plan_.names[proxy_], write);
        Code ec;
        stream_->expires_after(std::chrono::milliseconds(all_.plan_.deadline_ms + kWaitBeyondMs));
        asio::async_write(*stream_, asio::buffer(text(try_id, write)), yield[ec]);
        if (!ec && leaves)
            leave(try_id, yield);
        else
            wait_for_answer(try_id, ec, yield);
    }

    // Leaves after a while, unless the answer comes before.
    void leave(const std::string& try_id, asio::yield_context yield) {
        Code ec;
        const auto stay = kLeastStayMs + static_cast<int>(random_.below(kMostStayMs - kLeastStayMs));
        pause(stay, yield);
        if (stream_->socket().available(ec) > 0 || ec) {
            wait_for_answer(try_id, Code{}, yield);
            return;
        }
        const auto how = static_cast<Leaving>(random_.below(4));
        if (how == Leaving::reset) stream_->socket().set_option(asio::socket_base::linger(true, 0), ec);
        if (how == Leaving::behind_bytes) {
            const std::string next = text(try_id + "-behind", false).substr(0, 40);
            asio::async_write(*stream_, asio::buffer(next), yield[ec]);
        }
        all_.ledger_.left(try_id, kLeaving[static_cast<std::size_t>(how)]);
        if (how == Leaving::half_close || how == Leaving::behind_bytes) {
            stream_->socket().shutdown(tcp::socket::shutdown_send, ec);
            pause(kMostStayMs, yield);
        }
        stream_.reset();
    }

    void wait_for_answer(const std::string& try_id, Code ec, asio::yield_context yield) {
        http::response<http::string_body> answer;
        if (!ec) http::async_read(*stream_, buffer_, answer, yield[ec]);
        if (ec) {
            const bool silent = ec == beast::error::timeout;
            all_.ledger_.ended(try_id, silent ? CallerEnd::unanswered : CallerEnd::cut);
            stream_.reset();
            return;
        }
        const auto body = boost::json::parse(answer.body(), ec);
        const auto* object = ec ? nullptr : body.if_object();
        const auto word = [object](const char* name) {
            const auto* value = object == nullptr ? nullptr : object->if_contains(name);
            return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
        };
        SoakAnswer seen;
        seen.status = static_cast<int>(answer.result_int());
        seen.try_id = word("try");
        seen.server = std::string(answer[kServerField]);
        seen.says_not_run = word("ran") == "no";
        all_.ledger_.answered(try_id, std::move(seen));
        if (!answer.keep_alive()) stream_.reset();
    }

    SoakCallers& all_;
    int number_;
    pith::Rng random_;
    asio::steady_timer timer_;
    std::unique_ptr<beast::tcp_stream> stream_;
    beast::flat_buffer buffer_;
    std::size_t proxy_ = 0;
    std::uint64_t requests_ = 0;
};

SoakCallers::SoakCallers(SoakCallerPlan plan, SoakLedger& ledger, std::function<bool(std::size_t)> takes_new)
    : plan_(std::move(plan)), ledger_(ledger), takes_new_(std::move(takes_new)) {}

void SoakCallers::run() {
    for (int i = 0; i < plan_.callers; ++i)
        asio::spawn(
            io_,
            [this, i](asio::yield_context yield) {
                Caller caller(*this, i);
                caller.run(yield);
            },
            asio::detached);
    io_.run();
}

}  // namespace mime
