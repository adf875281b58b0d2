#include "span/caller_request.hpp"

#include <algorithm>
#include <boost/beast/core.hpp>

#include "pith/time.hpp"

namespace span {

namespace asio = boost::asio;
namespace beast = boost::beast;
using pith::Kind;
using pith::Micros;

namespace {

constexpr auto kBodyIn = std::chrono::seconds(15);
constexpr auto kInviteIn = std::chrono::seconds(10);
constexpr std::size_t kFieldBytes = 96;     // of each field, beside its text
constexpr std::size_t kCopiesOfFields = 2;  // the caller's, and those of the request to the server
constexpr std::size_t kHeldOf = 4;          // a body longer than such a part of the room isn't held
constexpr std::size_t kPiece = 64 * 1024;   // bytes of a long body that are sent on at once
constexpr std::size_t kBeyondHead = 4096;   // bytes that may be read along with a head

std::size_t times(const Visit& v, beast::string_view n) {
    const auto r = v.equal_range(n);
    return static_cast<std::size_t>(std::distance(r.first, r.second));
}

// Shapes by which two parties could see two different visits are refused (RFC 9112 6.3, 11.2).
std::string smuggling(const Visit& v, bool chunked, const Dialect& d) {
    if (v.version() != 11) return "HTTP/1.1 is needed";
    if (times(v, "Host") != 1) return "exactly one Host is needed";
    if (times(v, "Content-Length") > 1 || times(v, "Transfer-Encoding") > 1) return "one length only";
    const bool te = v.find(http::field::transfer_encoding) != v.end();
    if (te && v.find(http::field::content_length) != v.end())
        return "Content-Length and Transfer-Encoding exclude each other";
    if (te && !(chunked && beast::iequals(v[http::field::transfer_encoding], "chunked")))
        return "only chunked is taken";
    for (const std::string* n : {&d.key, &d.try_id, &d.deadline, &d.attempt})
        if (!n->empty() && times(v, *n) > 1) return *n + " stands there twice";
    return {};
}

std::string size_text(std::uint64_t n) {
    constexpr std::uint64_t kKi = 1024;
    if (n >= kKi * kKi && n % (kKi * kKi) == 0) return std::to_string(n / kKi / kKi) + " MiB";
    return n % kKi == 0 ? std::to_string(n / kKi) + " KiB" : std::to_string(n) + " bytes";
}

bool nobody_there(const boost::system::error_code& ec) {
    return ec == http::error::end_of_stream || ec == beast::error::timeout ||
           ec == asio::error::connection_reset || ec == asio::error::operation_aborted ||
           ec == http::error::partial_message || ec == asio::error::eof || ec == asio::error::bad_descriptor;
}

}  // namespace

bool StreamPlace::enter(budget::Holder& holder) {
    if (holder_ != nullptr && !holder_->lags(pith::mono_now())) return false;
    if (holder_ != nullptr) holder_->evict();
    holder_ = &holder;
    return true;
}

void StreamPlace::leave(const budget::Holder& holder) {
    if (holder_ == &holder) holder_ = nullptr;
}

CallerRequest::CallerRequest(CallerConnection& connection, const creed::Limits& limits,
                             const Dialect& dialect, StreamPlace& place)
    : connection_(connection), limits_(limits), dialect_(dialect), place_(place) {
    parser_.header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
    parser_.body_limit(limits_.body_bytes);
    parser_.eager(true);
    parser_.get().body().counted_by(&connection_.holder());
    connection_.held_body(&parser_.get().body());
}

CallerRequest::~CallerRequest() {
    connection_.held_body(nullptr);
    connection_.holder().give(counted_fields_);
    place_.leave(connection_.holder());
}

CallerRequest::End CallerRequest::read(asio::yield_context y) {
    auto& holder = connection_.holder();
    holder.peer_waited_for();
    Code ec = read_head(y);
    if (ec) return ended(ec);
    head_only_ = parser_.get().method() == http::verb::head;
    if (!sound_head()) return End::refused;
    if (!count_fields()) return ended(budget::no_room());
    if (too_long_to_hold() && !stream()) return End::refused;
    if (!invite_body(y)) return End::gone;
    if (!streamed_) ec = read_body(y);
    holder.peer_done();
    return ec ? ended(ec) : streamed_ || parser_.is_done() ? End::ready : End::refused;
}

CallerRequest::Code CallerRequest::read_head(asio::yield_context y) {
    auto& buffer = connection_.buffer();
    const std::size_t beyond = limits_.header_bytes + kBeyondHead;
    buffer.max_size(std::max(buffer.size() + kBeyondHead, beyond));
    const std::size_t more =
        beyond > budget::kUnparsedBytes + kBeyondHead ? beyond - budget::kUnparsedBytes : 0;
    const budget::Charge room(connection_.holder(), more);
    if (!room) return budget::no_room();
    connection_.stream().expires_after(std::chrono::microseconds(limits_.header_time));
    Code ec;
    http::async_read_header(connection_.stream(), buffer, parser_, y[ec]);
    // What stands behind a body, and chunks' extensions, may be no longer.
    buffer.max_size(std::max(buffer.size(), budget::kUnparsedBytes));
    return ec;
}

bool CallerRequest::sound_head() {
    const std::string bad = smuggling(parser_.get(), parser_.chunked(), dialect_);
    const auto expected = parser_.get()[http::field::expect];
    if (!bad.empty())
        refuse(Kind::bad_visit, "not a sound HTTP/1.1 request (" + bad + "): mend the caller");
    else if (!expected.empty() && !beast::iequals(expected, "100-continue"))
        refuse(Kind::expect_wrong, "only Expect: 100-continue is known: leave it out");
    return refusal_.error.message.empty();
}

bool CallerRequest::count_fields() {
    std::size_t bytes = 0;
    for (const auto& field : parser_.get())
        bytes += kFieldBytes + field.name_string().size() + field.value().size();
    if (!connection_.holder().take(kCopiesOfFields * bytes)) return false;
    counted_fields_ = kCopiesOfFields * bytes;
    return true;
}

// False: the caller left.
bool CallerRequest::invite_body(asio::yield_context y) {
    if (parser_.get()[http::field::expect].empty() || parser_.is_done()) return true;
    http::response<http::empty_body> go{http::status::continue_, 11};
    connection_.stream().expires_after(kInviteIn);
    Code ec;
    http::async_write(connection_.stream(), go, y[ec]);
    return !ec;
}

// Of the body, as the caller has said and as it has come.
std::uint64_t CallerRequest::known_length() const {
    const auto said = parser_.content_length();
    const std::uint64_t come = parser_.get().body().size();
    return said ? std::max<std::uint64_t>(*said, come) : come;
}

bool CallerRequest::too_long_to_hold() const {
    return !parser_.is_done() && known_length() > connection_.holder().room() / kHeldOf;
}

// False: another body has the place, and this one is refused.
bool CallerRequest::stream() {
    if (!place_.enter(connection_.holder())) {
        refuse(Kind::crowded, "another long body is under way here: come back after retry_after_ms");
        refusal_.retry_after = pith::kSecond;
        return false;
    }
    streamed_ = true;
    return true;
}

// Until it is whole, or too long to be held.
CallerRequest::Code CallerRequest::read_body(asio::yield_context y) {
    connection_.stream().expires_after(kBodyIn);
    // What follows a chunked body is no part of the head: it names no try, key or host.
    const bool trailers = parser_.chunked();
    const http::request_header<> said = trailers ? parser_.get().base() : http::request_header<>{};
    Code ec;
    while (!ec && !parser_.is_done() && !streamed_) {
        ec = read_some(y);
        if (!ec && too_long_to_hold() && !stream()) return ec;
    }
    if (trailers && !streamed_) parser_.get().base() = said;
    return ec;
}

// A long body comes through wide buffers.
void CallerRequest::widen() {
    if (streamed_ || known_length() > kShortBody) connection_.widen();
}

CallerRequest::Code CallerRequest::read_some(asio::yield_context y) {
    Code ec;
    widen();
    connection_.holder().peer_moved(
        http::async_read_some(connection_.stream(), connection_.buffer(), parser_, y[ec]));
    return ec;
}

CallerRequest::End CallerRequest::ended(const Code& ec) {
    connection_.holder().peer_done();
    if (connection_.holder().evicted() || nobody_there(ec)) return End::gone;
    if (ec == budget::no_room()) {
        refuse(Kind::crowded, "no room for the request now: come back after retry_after_ms");
        refusal_.retry_after = pith::kSecond;
        return End::refused;
    }
    if (ec == http::error::body_limit)
        return refuse(Kind::too_large, "the body is over " + size_text(limits_.body_bytes) + ": send less");
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
        return refuse(Kind::head_too_large,
                      "the head is over " + size_text(limits_.header_bytes) + ": send less");
    return refuse(Kind::bad_visit, "not a sound HTTP/1.1 request (" + ec.message() + "): mend the caller");
}

CallerRequest::End CallerRequest::refuse(Kind kind, const std::string& why) {
    refusal_.error = {kind, why};
    return End::refused;
}

void CallerRequest::watch(CallerPresence* presence) {
    presence_ = presence;
    connection_.watch(presence);
}

void CallerRequest::unwatch() {
    presence_ = nullptr;
    connection_.unwatch();
}

boost::optional<std::uint64_t> CallerRequest::length() const {
    return parser_.chunked() ? boost::none : parser_.content_length();
}

RestOfBody::Next CallerRequest::read(Micros until, asio::yield_context y) {
    auto& body = parser_.get().body();
    if (!begun_) {
        connection_.unwatch();
        connection_.stop_reading(y);
        body.clear();  // what was held of it has been sent
        begun_ = true;
    }
    body.drop_contents();
    connection_.stream().expires_at(std::chrono::steady_clock::time_point(std::chrono::microseconds(until)));
    connection_.holder().peer_waited_for();
    Code ec;
    while (!ec && !parser_.is_done() && body.size() < kPiece) ec = read_some(y);
    connection_.holder().peer_done();
    if (ec) return Next::gone;
    if (!parser_.is_done()) return Next::more;
    connection_.stream().expires_never();
    if (presence_ != nullptr) connection_.watch(presence_);
    return Next::last;
}

}  // namespace span
