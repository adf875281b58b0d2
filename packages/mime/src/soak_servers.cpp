#include "mime/soak_servers.hpp"

#include <array>
#include <atomic>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <set>

namespace mime {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using pith::kMilli;
using pith::Micros;
using Code = boost::system::error_code;

namespace {
constexpr Micros kLeastWork = 3 * kMilli, kMostWork = 60 * kMilli;
constexpr int kLongEach = 12;  // one request in so many lasts long
constexpr Micros kLong = 1500 * kMilli;
constexpr int kOtherStatusEach = 8;  // one answer in so many
constexpr int kLowestFinalStatus = 200, kHighestStatus = 599;
}  // namespace

struct SoakServer::Impl : std::enable_shared_from_this<SoakServer::Impl> {
    Impl(asio::io_context& context, SoakLedger& of, std::string its_service, std::string its_instance,
         std::uint64_t seed)
        : io(context),
          acceptor(context),
          ledger(of),
          service(std::move(its_service)),
          instance(std::move(its_instance)),
          random(seed) {}

    asio::io_context& io;
    tcp::acceptor acceptor;
    SoakLedger& ledger;
    std::string service, instance;
    pith::Rng random;
    std::atomic<double> slower{1};
    bool closed = false;
    std::set<std::shared_ptr<beast::tcp_stream>> streams;

    Micros draw_work() {
        const auto spread = static_cast<std::uint64_t>(kMostWork - kLeastWork);
        const Micros usual = kLeastWork + static_cast<Micros>(random.below(spread));
        const Micros work = random.below(kLongEach) == 0 ? kLong : usual;
        return static_cast<Micros>(static_cast<double>(work) * slower);
    }

    // 204, 205 and 304 have no body, which the answer's try stands in.
    int draw_status() {
        if (random.below(kOtherStatusEach) != 0) return kLowestFinalStatus;
        constexpr std::uint64_t kStatuses = kHighestStatus - kLowestFinalStatus + 1;
        const int drawn = kLowestFinalStatus + static_cast<int>(random.below(kStatuses));
        const bool bodyless = drawn == 204 || drawn == 205 || drawn == 304;
        return bodyless ? kLowestFinalStatus : drawn;
    }

    void accept(asio::yield_context yield) {
        for (;;) {
            Code ec;
            tcp::socket socket(io);
            acceptor.async_accept(socket, yield[ec]);
            if (ec || closed) return;
            asio::spawn(
                io,
                [me = shared_from_this(), socket = std::move(socket)](asio::yield_context inner) mutable {
                    const auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
                    me->streams.insert(stream);
                    me->serve(*stream, inner);
                    me->streams.erase(stream);
                },
                asio::detached);
        }
    }

    // Works for the drawn time, or until the peer closes. False: it closed.
    bool work(beast::tcp_stream& stream, Micros time, asio::yield_context yield) {
        const auto timer = std::make_shared<asio::steady_timer>(io, std::chrono::microseconds(time));
        const auto peer_closed = std::make_shared<bool>(false);
        const auto byte = std::make_shared<std::array<char, 1>>();
        stream.socket().async_receive(asio::buffer(*byte), tcp::socket::message_peek,
                                      [timer, peer_closed, byte](Code ec, std::size_t) {
                                          if (ec == asio::error::operation_aborted) return;
                                          *peer_closed = static_cast<bool>(ec);
                                          timer->cancel();
                                      });
        Code ec;
        timer->async_wait(yield[ec]);
        stream.socket().cancel(ec);
        return !*peer_closed;
    }

    void serve(beast::tcp_stream& stream, asio::yield_context yield) {
        beast::flat_buffer buffer;
        Code ec;
        stream.socket().set_option(tcp::no_delay(true), ec);
        for (;;) {
            http::request_parser<http::string_body> parser;
            stream.expires_after(std::chrono::seconds(60));
            http::async_read(stream, buffer, parser, yield[ec]);
            if (ec) return;
            stream.expires_never();
            const auto request = parser.release();
            http::response<http::string_body> answer{http::status::ok, 11};
            answer.set(http::field::content_type, "application/json");
            const std::string try_id(request["Marble-Try"]);
            if (request.target() == "/.marble/identity") {
                answer.body() = json::serialize(
                    json::object{{"service", service}, {"instance", instance}, {"echo", true}});
            } else {
                const Micros time = draw_work();
                const std::size_t arrival = ledger.arrived(try_id, instance, time);
                const bool stayed = work(stream, time, yield);
                ledger.worked(try_id, arrival, stayed ? WorkEnd::answered : WorkEnd::broken_off);
                if (!stayed || closed) return;
                const int status = draw_status();
                ledger.gave_status(try_id, arrival, status);
                answer.result(static_cast<unsigned>(status));
                answer.set("Marble-Try", try_id);
                answer.set(kServerField, instance);
                answer.body() = json::serialize(json::object{{"try", try_id}, {"instance", instance}});
            }
            answer.prepare_payload();
            http::async_write(stream, answer, yield[ec]);
            if (ec || !request.keep_alive()) return;
        }
    }
};

SoakServer::SoakServer(asio::io_context& io, SoakLedger& ledger, std::string service, std::string instance,
                       std::uint64_t seed)
    : impl_(std::make_shared<Impl>(io, ledger, std::move(service), std::move(instance), seed)) {}

SoakServer::~SoakServer() = default;

pith::Result<std::string> SoakServer::open(const std::string& ip) {
    Code ec;
    const tcp::endpoint endpoint(asio::ip::make_address(ip), 0);
    impl_->acceptor.open(endpoint.protocol(), ec);
    if (!ec) impl_->acceptor.bind(endpoint, ec);
    if (!ec) impl_->acceptor.listen(512, ec);
    if (ec)
        return pith::fail(pith::Kind::settings_wrong,
                          "can't listen on " + ip + ": " + ec.message() + ": name another address");
    asio::spawn(
        impl_->io, [impl = impl_](asio::yield_context yield) { impl->accept(yield); }, asio::detached);
    return ip + ":" + std::to_string(impl_->acceptor.local_endpoint(ec).port());
}

const std::string& SoakServer::service() const { return impl_->service; }
const std::string& SoakServer::instance() const { return impl_->instance; }
void SoakServer::slow(double times) { impl_->slower = times; }

void SoakServer::close() {
    asio::post(impl_->io, [impl = impl_] {
        impl->closed = true;
        Code ec;
        impl->acceptor.close(ec);
        for (const auto& stream : impl->streams) stream->cancel();
    });
}

}  // namespace mime
