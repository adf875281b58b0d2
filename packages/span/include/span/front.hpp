#pragma once
// Callers' sessions: HTTP/1.1 by Boost.Beast (docs/design.md 7.1, docs/api.md).
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <memory>
#include <thread>
#include <vector>

#include "span/caller_connection.hpp"
#include "span/caller_request.hpp"
#include "span/lingering_close.hpp"
#include "span/relay.hpp"
#include "weft/desk.hpp"

namespace span {

class Worker {
  public:
    explicit Worker(Hall& h)
        : relay(io, h),
          holders(h.limits->callers, h.threads, h.threads),
          hall_(h),
          guard_(io.get_executor()) {}
    void start();
    void stop();
    void serve(boost::asio::ip::tcp::socket s, boost::asio::yield_context y);

    boost::asio::io_context io{1};
    Relay relay;
    budget::Holders holders;  ///< the callers' connections

  private:
    void visit(CallerRequest& request, CallerConnection& connection, Carried* c,
               boost::asio::yield_context y);
    bool serve_one(CallerConnection& connection, LingeringClose* closing, boost::asio::yield_context y);
    Reply answer(CallerRequest& request, CallerConnection& connection, CallerRequest::End end,
                 bool* caller_left, boost::asio::yield_context y);
    void note(Carried& c, int status);
    bool write(CallerConnection& connection, Reply& reply, bool head_only, boost::asio::yield_context y);
    bool wait_turn(const Entry& e, tide::Id id, const WaiterPtr& w, CallerPresence& caller,
                   boost::asio::yield_context y);
    // Stands in S once more, for a visit whose pass went stale.
    bool another_pass(Entry* e, pith::Micros until, CallerPresence& caller, boost::asio::yield_context y);
    Hall& hall_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
    std::thread thread_;
    StreamPlace stream_place_;
};

// Accepts on one thread and hands sessions round the workers.
class Front {
  public:
    Front(boost::asio::io_context& io, Hall& h, std::vector<std::unique_ptr<Worker>>& w);
    pith::Result<std::string> open(const std::string& address);
    void close();  // accepts no more

  private:
    void accept();
    boost::asio::io_context& io_;
    Hall& hall_;
    std::vector<std::unique_ptr<Worker>>& w_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::size_t turn_ = 0;
    bool closed_ = false;
};

}  // namespace span
