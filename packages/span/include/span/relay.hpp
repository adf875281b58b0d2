#pragma once
// Carries out a plan at a server: proven sessions, answers read whole (docs/design.md 7.6).
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "budget/counted_body.hpp"
#include "budget/holders.hpp"
#include "pith/log.hpp"
#include "span/errand.hpp"
#include "span/hall.hpp"

namespace span {

namespace http = boost::beast::http;
using Visit = http::request<budget::CountedBody>;
using Reply = http::response<budget::CountedBody>;

/// The rest of a body that is too long to be held: it goes to a server as it comes.
class RestOfBody {
  public:
    enum class Next { more, last, gone };
    virtual ~RestOfBody() = default;
    /// Of the whole body, in bytes; none: it comes in chunks.
    virtual boost::optional<std::uint64_t> length() const = 0;
    /// Puts the next bytes in place of those that stand in the request's body. gone: the caller has left, or
    /// stopped sending.
    virtual Next read(pith::Micros until, boost::asio::yield_context y) = 0;
};

/// The caller's side of a request that is carried out.
struct CallerSide {
    CallerPresence& presence;
    budget::Holder& memory;      ///< counts what is held for it
    RestOfBody* rest = nullptr;  ///< none: the body is whole
};

struct Session {
    explicit Session(boost::asio::io_context& io) : stream(io) {}
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buf{kMostUnparsed};
    static constexpr std::size_t kMostUnparsed = 32 * 1024;  // bytes, as heads and trailers are until their end
    pith::Micros idle_since = 0, idle_for = 0;
    bool wide = false;     // its buffer for what is received is wide, and counted no longer
    bool echoes = false;   // the server promised to name the try in every answer
    std::string last_try;  // sent over it last
    int sends = 0;         // requests of callers sent over it
};

// What came of a plan: a whole answer, or a refusal that is true.
struct Carried {
    bool answered = false, sent = false, caller_left = false;
    Reply reply;
    Refusal refusal;
    Trace trace;
};

// One thread's worker: its own io_context and sessions (docs/design.md 7.5).
class Relay {
  public:
    Relay(boost::asio::io_context& io, Hall& hall) : io_(io), hall_(hall) {}
    // Waits for a new pass until then, and says whether it came; if not, it fills the refusal.
    using More = std::function<bool(pith::Micros until, Refusal*)>;
    using Allowed = std::function<bool(Refusal*)>;
    void carry(const Plan& p, const Visit& v, const CallerSide& caller, const More& more, const Allowed& allowed,
               Carried* c, boost::asio::yield_context y);
    // Proves a server on a fresh session: 0 well, 1 failed, 2 leaving.
    std::uint8_t probe(const weft::ServerRec& r, boost::asio::yield_context y);
    // A planned stop's grace is over: callers whose answers are still awaited are told so, at once.
    void give_up();
    void sweep(pith::Micros now);  // closes sessions long idle or to servers that are gone
    std::size_t idle_sessions() const { return idle_sessions_; }
    RequestRules rules;  // a test's to change, before the worker starts

  private:
    // One send, as its answer is judged by it.
    using Outbound = http::request<http::buffer_body>;
    struct Sent {
        const Plan& plan;
        budget::Holder& memory;
        pith::Micros until = 0;
        bool whole = false;  // the whole request was written
        bool first = false;  // the first of its connection
    };
    enum class Owner { ours, another_try, unclear };

    // `x` is to be a fresh session. False: it could not be had, as `verdict` says.
    bool open(Session& x, const Slot& s, pith::Micros until, std::uint8_t* verdict, boost::asio::yield_context y);
    std::unique_ptr<Session> session(const Slot& s, const Errand& errand, CallerPresence& caller,
                                     std::uint8_t* verdict, boost::asio::yield_context y);
    Step exchange_for(const CallerSide& caller, Session& s, const Plan& p, const Slot& slot, const Visit& v,
                      pith::Micros until, Reply* r, bool* keep, boost::asio::yield_context y);
    void heed(Errand* errand, const CallerPresence& caller) const;
    std::unique_ptr<Session> idle(const Slot& s, const std::string& try_id);
    bool quiet(Session& s) const;
    Step exchange(const CallerSide& caller, Session& s, const Plan& p, const Slot& slot, const Visit& v,
                  pith::Micros until, Reply* r, bool* keep, boost::asio::yield_context y);
    void fill(const Plan& p, const Slot& slot, const Visit& v, const RestOfBody* rest, pith::Micros left,
              Outbound* q) const;
    bool send(const CallerSide& caller, Session& s, const Visit& v, Outbound& q, pith::Micros until,
              boost::system::error_code& ec, boost::asio::yield_context y) const;
    void read_one(Session& s, const Sent& sent, http::response_parser<budget::CountedBody>& parser,
                  boost::system::error_code& ec, boost::asio::yield_context y);
    bool room_for(http::response_parser<budget::CountedBody>& parser, const Sent& sent,
                  boost::asio::yield_context y);
    Step read_answer(Session& s, const Sent& sent, Reply* r, bool* keep, boost::asio::yield_context y);
    Owner owner(const Reply& in, const Session& s, const Sent& sent) const;
    bool says_not_run(const Reply& in) const;
    bool misdirected(const Reply& in) const;
    Step judge(const Reply& in) const;
    void hand_over(Reply in, bool bodyless, bool head_only, Reply* out) const;
    static void idle_time(const Reply& in, Session* s);
    void wait_in_line(const Plan& p, pith::Micros until, CallerPresence& caller, boost::asio::yield_context y);
    void keep(const Slot& s, std::unique_ptr<Session> x);
    void note_listing_age(const Slot& server);
    static std::string key(const Slot& s) { return s.address + ' ' + s.instance + ' ' + s.service; }

    boost::asio::io_context& io_;
    Hall& hall_;
    std::map<std::string, std::deque<std::unique_ptr<Session>>> idle_;
    std::size_t idle_sessions_ = 0;
    std::set<Session*> busy_;
    bool given_up_ = false;
    pith::Seldom old_listing_seldom_{pith::kSecond};
};

// Header fields that belong to one hop only, RFC 9110 7.6.1.
bool hop_by_hop(boost::beast::string_view name);

}  // namespace span
