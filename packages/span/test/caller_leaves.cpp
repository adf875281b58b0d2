#define BOOST_TEST_MODULE span_caller_leaves
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "gateway_under_test.hpp"

// Who watches a caller at every step of its request (docs/design.md 7.9): a read ends with its caller
// wherever it is, a write that a server has begun goes on, and nothing is sent for a caller that has left.

using namespace scripted;
using span::CallerStep;
namespace data = boost::unit_test::data;

namespace {

/// How a caller ends its connection. behind_bytes: behind a next request that nobody has read yet.
enum class Way { close, reset, half_close, behind_bytes };
const Way kWays[] = {Way::close, Way::reset, Way::half_close, Way::behind_bytes};

std::string try_of(const Request& q) { return q.field("Marble-Try"); }

bool serve(Connection& c, Request& q) {
    if (!c.read_body(&q)) return false;
    c.send(answer(200, try_of(q), "to " + try_of(q)));
    return true;
}

/// Waits for what must come; the bound only ends a test that has failed.
template <class Condition>
bool comes(Condition condition, pith::Micros bound = 8 * pith::kSecond) {
    const pith::Micros end = pith::mono_now() + bound;
    while (!condition()) {
        if (pith::mono_now() > end) return false;
        std::this_thread::yield();
    }
    return true;
}

void leave(Caller& caller, Way way) {
    switch (way) {
        case Way::close:
            caller.close();
            break;
        case Way::reset:
            caller.reset();
            break;
        case Way::half_close:
            caller.half_close();
            break;
        case Way::behind_bytes:
            caller.send(caller.request(Route::read, "behind"));
            caller.half_close();
            break;
    }
}

std::uint64_t left_at(Bed& bed, CallerStep step) {
    return bed.gateway->hall.tolls.callers_left[static_cast<std::size_t>(step)];
}

std::uint64_t left_anywhere(Bed& bed) {
    std::uint64_t n = 0;
    for (const auto& at_step : bed.gateway->hall.tolls.callers_left) n += at_step;
    return n;
}

bool at_rest(Bed& bed) { return bed.gateway->hall.in_flight == 0; }

/// Neither counted against a server nor left with one.
void check_servers_unharmed(Bed& bed) {
    for (const auto& server : bed.gateway->hall.pool.view(pith::mono_now())) {
        BOOST_TEST(server.failures == 0u);
        BOOST_TEST(server.in_flight == 0u);
        BOOST_TEST(!server.ejected);
    }
}

/// Serves all but the tries that are named: those are held until the test lets them go, or their connection
/// ends.
struct Holding {
    Latch begun, release;
    std::function<void(Connection&, Request&)> then;  // after release; default: a whole answer
    std::set<std::string> held{"t"};
    std::atomic<bool> until_close{false};
    Script script() {
        return [this](Connection& c, Request& q) {
            if (held.count(try_of(q)) == 0) return serve(c, q);
            c.read_body(&q);
            begun.open();
            if (until_close) {
                c.wait_for_close();
                return false;
            }
            release.wait();
            if (then) {
                then(c, q);
                return true;
            }
            c.send(answer(200, try_of(q), "to " + try_of(q)));
            return true;
        };
    }
};

}  // namespace

namespace {
std::ostream& operator<<(std::ostream& o, Way w) {
    const char* names[] = {"close", "reset", "half_close", "behind_bytes"};
    return o << names[static_cast<int>(w)];
}
}  // namespace

namespace scripted {
std::ostream& operator<<(std::ostream& o, Speech s) {
    return o << (s == Speech::expecting ? "expecting" : "proving");
}
}  // namespace scripted

// ---- At a server

BOOST_DATA_TEST_CASE(a_read_ends_with_its_caller, data::make(kWays), way) {
    Holding holding;
    holding.until_close = true;
    Bed bed({Speech::expecting, 2, 10000}, holding.script());
    Caller caller = bed.gateway->caller();
    caller.send(caller.request(Route::read, "t"));
    holding.begun.wait();
    leave(caller, way);
    BOOST_TEST(comes([&] { return left_at(bed, CallerStep::answer) == 1; }));
    bed.server.wait_for_end(bed.connection_of("t"));
    BOOST_TEST(comes([&] { return at_rest(bed); }));
    BOOST_TEST(bed.arrivals("t") == 1);
    BOOST_TEST(bed.arrivals("behind") == 0);
    BOOST_TEST(bed.gateway->hall.tolls.own_retries == 0u);
    check_servers_unharmed(bed);
}

BOOST_AUTO_TEST_CASE(a_read_ends_with_its_caller_while_the_node_stops) {
    Holding holding;
    holding.until_close = true;
    Bed bed({Speech::expecting, 2, 10000}, holding.script());
    Caller caller = bed.gateway->caller();
    caller.send(caller.request(Route::read, "t"));
    holding.begun.wait();
    bed.gateway->hall.stopping = true;
    caller.close();
    BOOST_TEST(comes([&] { return left_at(bed, CallerStep::answer) == 1; }));
    bed.server.wait_for_end(bed.connection_of("t"));
    BOOST_TEST(comes([&] { return at_rest(bed); }));
}

BOOST_DATA_TEST_CASE(a_write_that_was_begun_goes_on, data::make(kWays), way) {
    Holding holding;
    Bed bed({Speech::expecting, 2, 10000}, holding.script());
    Caller caller = bed.gateway->caller();
    caller.send(caller.request(Route::write, "t", "", "bid"));
    holding.begun.wait();
    leave(caller, way);
    BOOST_TEST(comes([&] { return left_at(bed, CallerStep::answer) == 1; }));
    BOOST_TEST(bed.gateway->hall.in_flight == 1);
    holding.release.open();
    BOOST_TEST(comes([&] { return at_rest(bed); }));
    check_servers_unharmed(bed);
    // Its connection was not broken off: the next request goes over it, or over the other server's.
    Caller next = bed.gateway->caller();
    for (int i = 0; i < 8; ++i) BOOST_TEST(next.ask(Route::read, "n" + std::to_string(i)).status == 200);
    BOOST_TEST(bed.arrivals("t") == 1);
    BOOST_TEST(bed.arrivals("behind") == 0);
    BOOST_TEST(bed.server.connections() <= 2);
}

// ---- Before a server

BOOST_DATA_TEST_CASE(nothing_is_opened_for_a_caller_that_left_while_a_session_was, data::make(kWays), way) {
    Latch asked, answer_it;
    const Setup setup{Speech::proving, 1, 10000};
    Server server(
        1, [](Connection& c, Request& q) { return serve(c, q); },
        [&](int address) {
            asked.open();
            answer_it.wait();
            return identity(setup)(address);
        });
    Gateway gateway(setup, server);
    Caller caller = gateway.caller();
    caller.send(caller.request(Route::write, "t", "", "bid"));
    asked.wait();
    leave(caller, way);
    auto& left = gateway.hall.tolls.callers_left[static_cast<std::size_t>(CallerStep::connect)];
    BOOST_TEST(comes([&] { return left == 1; }));
    answer_it.open();
    BOOST_TEST(comes([&] { return gateway.hall.in_flight == 0; }));
    BOOST_TEST(server.arrivals("Marble-Try", "t") == 0);
    for (const auto& view : gateway.hall.pool.view(pith::mono_now())) {
        BOOST_TEST(view.failures == 0u);
        BOOST_TEST(!view.ejected);
    }
}

BOOST_DATA_TEST_CASE(whoever_leaves_the_line_is_not_sent, data::make(kWays), way) {
    Holding holding;
    holding.held = {"a", "b", "c", "d"};  // the slots of the one server, and what is lent beyond them
    Bed bed({Speech::expecting, 1, 10000}, holding.script());
    std::vector<std::unique_ptr<Caller>> busy;
    for (const auto& name : holding.held) {
        busy.push_back(std::make_unique<Caller>(bed.gateway->address(), Speech::expecting));
        busy.back()->send(busy.back()->request(Route::read, name));
        BOOST_REQUIRE(comes([&] { return bed.arrivals(name) == 1; }));
    }
    Caller caller = bed.gateway->caller();
    caller.send(caller.request(Route::write, "t", "", "bid"));
    BOOST_REQUIRE(comes([&] { return bed.gateway->hall.in_flight == 5; }));
    leave(caller, way);
    BOOST_TEST(comes([&] { return left_at(bed, CallerStep::line) == 1; }));
    BOOST_TEST(comes([&] { return bed.gateway->hall.in_flight == 4; }));
    holding.release.open();
    for (auto& other : busy) BOOST_TEST(other->read().status == 200);
    BOOST_TEST(bed.arrivals("t") == 0);
}

BOOST_DATA_TEST_CASE(whoever_leaves_the_queue_is_not_sent, data::make(kWays), way) {
    Bed bed({Speech::proving, 1, 10000}, [](Connection& c, Request& q) { return serve(c, q); });
    tide::Left none;
    bed.gateway->hall.basin.allowances(pith::mono_now(), {{"c", 0.2}}, &none);
    // Passes run out, then one is queued: the first that is not answered at once.
    Caller first = bed.gateway->caller();
    int asked = 0;
    for (; asked < 50; ++asked) {
        Caller caller = bed.gateway->caller();
        const std::string name = "q" + std::to_string(asked);
        caller.send(caller.request(Route::write, name, "", "bid"));
        BOOST_REQUIRE(comes([&] { return bed.arrivals(name) == 1 || bed.gateway->hall.basin.waiting(); }));
        if (bed.arrivals(name) == 1) continue;
        leave(caller, way);
        BOOST_TEST(comes([&] { return left_at(bed, CallerStep::queue) == 1; }));
        BOOST_TEST(comes([&] { return at_rest(bed); }));
        BOOST_TEST(bed.arrivals(name) == 0);
        break;
    }
    BOOST_TEST(asked < 50);
}

// ---- Before a second send

BOOST_DATA_TEST_CASE(nothing_is_sent_again_for_a_caller_that_left, data::make(kWays), way) {
    Holding holding;  // the write is shed after its caller has left: it did not run, and may go elsewhere
    holding.then = [](Connection& c, Request& q) { c.send(not_run(503, try_of(q))); };
    Bed bed({Speech::expecting, 2, 10000}, holding.script());
    Caller caller = bed.gateway->caller();
    caller.send(caller.request(Route::write, "t", "", "bid"));
    holding.begun.wait();
    leave(caller, way);
    BOOST_TEST(comes([&] { return left_anywhere(bed) == 1; }));
    holding.release.open();
    BOOST_TEST(comes([&] { return at_rest(bed); }));
    BOOST_TEST(bed.arrivals("t") == 1);
    BOOST_TEST(bed.gateway->hall.tolls.own_retries == 0u);
}

// As users recorded it: a server that had queued the read runs it to the deadline, and its 504 was followed
// by a second send 0.75 s after the caller had left (docs/incidents/listing-asked-by-the-busiest.md).
BOOST_DATA_TEST_CASE(a_read_that_ends_with_504_is_not_sent_again_for_a_caller_that_left, data::make(kWays),
                     way) {
    Holding holding;
    holding.then = [](Connection& c, Request& q) { c.send(answer(504, try_of(q), "deadline")); };
    Bed bed({Speech::expecting, 2, 10000}, holding.script());
    Caller caller = bed.gateway->caller();
    caller.send(caller.request(Route::read, "t"));
    holding.begun.wait();
    leave(caller, way);
    BOOST_TEST(comes([&] { return left_at(bed, CallerStep::answer) == 1; }));
    holding.release.open();
    BOOST_TEST(comes([&] { return at_rest(bed); }));
    BOOST_TEST(bed.arrivals("t") == 1);
    BOOST_TEST(bed.gateway->hall.tolls.own_retries == 0u);
}

// ---- Who has not left

BOOST_AUTO_TEST_CASE(who_sends_the_next_request_early_is_still_there) {
    Holding holding;
    Bed bed({Speech::expecting, 2, 10000}, holding.script());
    Caller caller = bed.gateway->caller();
    caller.send(caller.request(Route::read, "t"));
    holding.begun.wait();
    const std::string body(1024 * 1024, 'x');  // more than is read ahead
    caller.send(caller.request(Route::read, "second"));
    std::thread sending([&] { caller.send(caller.request(Route::write, "third", "", body)); });
    holding.release.open();
    BOOST_TEST(caller.read().body == "to t");
    BOOST_TEST(caller.read().body == "to second");
    BOOST_TEST(caller.read().body == "to third");
    sending.join();
    BOOST_TEST(left_anywhere(bed) == 0u);
}

// A close that nobody can see, behind more than is read ahead, is looked for by polling.
BOOST_AUTO_TEST_CASE(a_close_behind_more_than_is_read_ahead_is_seen) {
    Holding holding;
    holding.until_close = true;
    Bed bed({Speech::expecting, 2, 10000}, holding.script());
    Caller caller = bed.gateway->caller();
    caller.send(caller.request(Route::read, "t"));
    holding.begun.wait();
    caller.send(caller.request(Route::write, "second", "", std::string(100 * 1024, 'x')));
    caller.half_close();
    BOOST_TEST(comes([&] { return left_at(bed, CallerStep::answer) == 1; }));
    bed.server.wait_for_end(bed.connection_of("t"));
    BOOST_TEST(comes([&] { return at_rest(bed); }));
}

// Connections that wait for a next request, or send it in pieces, are used on.
BOOST_DATA_TEST_CASE(a_connection_serves_many_requests, data::make({Speech::expecting, Speech::proving}),
                     speech) {
    Bed bed({speech, 2, 10000}, [](Connection& c, Request& q) { return serve(c, q); });
    Caller caller = bed.gateway->caller();
    for (int i = 0; i < 20; ++i) {
        const std::string name = "t" + std::to_string(i);
        const std::string request =
            caller.request(i % 2 == 0 ? Route::read : Route::write, name, "", i % 2 == 0 ? "" : "bid");
        for (std::size_t at = 0; at < request.size(); at += 40) caller.send(request.substr(at, 40));
        const Told told = caller.read();
        BOOST_TEST(told.body == "to " + name);
        BOOST_TEST(told.kept);
    }
    BOOST_TEST(left_anywhere(bed) == 0u);
}
