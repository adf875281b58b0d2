#define BOOST_TEST_MODULE span_unread_bodies
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "gateway_under_test.hpp"

// Requests that are answered before their body was read to its end (docs/requests.md, rule 12): nothing of
// the body is taken for a request, and the caller can read the answer, whether it sends everything first or
// not.

using namespace scripted;
namespace data = boost::unit_test::data;

namespace {

constexpr std::size_t kMemory = 16 * 1024 * 1024;     // bytes; a body of over 0.8 MB isn't held whole
constexpr std::size_t kBody = 4 * 1024 * 1024;        // bytes
constexpr std::size_t kPiece = 16 * 1024;             // bytes of a chunk
constexpr std::size_t kBeforePause = 64 * kPiece;     // bytes of a body: more than is held
constexpr std::size_t kHeldLimit = kBeforePause / 2;  // bytes; `body_bytes` where all bodies are held
constexpr int kWaiting = 100;                         // requests of a customer, before another one comes

enum class Framing { length, chunks };
enum class Order { whole_body_first, pause_for_the_answer };

struct Shape {
    Framing framing;
    Order order;
    bool expect;  ///< the caller waits to be invited
};
std::ostream& operator<<(std::ostream& o, const Shape& s) {
    return o << (s.framing == Framing::length ? "length" : "chunks")
             << (s.order == Order::whole_body_first ? ", whole body first" : ", pause")
             << (s.expect ? ", expect" : "");
}

const Shape kShapes[] = {
    {Framing::length, Order::whole_body_first, false}, {Framing::length, Order::pause_for_the_answer, false},
    {Framing::length, Order::whole_body_first, true},  {Framing::length, Order::pause_for_the_answer, true},
    {Framing::chunks, Order::whole_body_first, false}, {Framing::chunks, Order::pause_for_the_answer, false},
    {Framing::chunks, Order::whole_body_first, true},  {Framing::chunks, Order::pause_for_the_answer, true},
};

/// A piece of a body that reads as a request of its own.
std::string request_as_text() {
    std::string head =
        "GET /r/inner HTTP/1.1\r\nHost: h\r\nMarble-Key: abc\r\nMarble-Try: inner\r\n"
        "Marble-Deadline-Ms: 20000\r\nPad: ";
    const std::string end = "\r\n\r\n";
    head.resize(kPiece - end.size(), 'x');
    return head + end;
}

std::string body_of(const Shape& shape) {
    const std::string piece = request_as_text();
    std::string body;
    for (std::size_t n = 0; n < kBody; n += piece.size())
        body += shape.framing == Framing::chunks ? "4000\r\n" + piece + "\r\n" : piece;
    return shape.framing == Framing::chunks ? body + "0\r\n\r\n" : body;
}

/// What a caller's request differs in from one that is served.
struct Head {
    std::string method = "POST", path = "/w/1", key = "abc", try_id = "t", more;
};

std::string head_text(const Head& head, const Shape& shape) {
    std::string text = head.method + " " + head.path + " HTTP/1.1\r\nHost: h\r\n";
    if (!head.key.empty()) text += "Marble-Key: " + head.key + "\r\n";
    if (!head.try_id.empty()) text += "Marble-Try: " + head.try_id + "\r\n";
    text += "Marble-Deadline-Ms: 20000\r\n" + head.more;
    if (shape.expect && head.more.find("Expect") == std::string::npos) text += "Expect: 100-continue\r\n";
    text += shape.framing == Framing::chunks ? "Transfer-Encoding: chunked\r\n"
                                             : "Content-Length: " + std::to_string(kBody) + "\r\n";
    return text + "\r\n";
}

Setup small_machine(Speech speech) {
    Setup setup;
    setup.speech = speech;
    setup.servers = 1;
    setup.memory = kMemory;
    return setup;
}

/// Sends one request with a long body as `shape` says, and checks that it gets one answer with this status
/// and nothing of its body was run.
void check(Bed& bed, const Head& head, const Shape& shape, int status) {
    auto caller = bed.gateway->caller();
    const std::string body = body_of(shape);
    std::size_t sent = 0;
    bool taken = caller.send(head_text(head, shape));
    Told told;
    if (shape.expect) told = caller.read();
    const bool invited = !shape.expect || told.status == 100;
    if (invited && shape.order == Order::pause_for_the_answer) {
        sent = kBeforePause;
        taken = taken && caller.send(body.substr(0, sent));
        told = caller.read();
    }
    if (invited) taken = taken && caller.send(body.substr(sent));
    if (invited && shape.order == Order::whole_body_first) told = caller.read();
    BOOST_TEST(told.status == status, told);
    BOOST_TEST(!told.kept);
    BOOST_TEST(taken);
    const std::string beyond = caller.read_to_end().substr(0, 100);
    BOOST_TEST(beyond == "");
    BOOST_TEST(bed.arrivals("inner") == 0);
}

bool never_called(Connection&, Request&) {
    BOOST_ERROR("a request that is refused reached a server");
    return false;
}

void check_refused(const Head& head, const Shape& shape, int status,
                   const std::function<void(Bed&)>& prepare = nullptr) {
    Bed bed(small_machine(Speech::proving), never_called);
    if (prepare) prepare(bed);
    check(bed, head, shape, status);
}

}  // namespace

BOOST_DATA_TEST_CASE(key_that_is_not_known, data::make(kShapes), shape) {
    Head head;
    head.key = "stranger";
    check_refused(head, shape, 401);
}

BOOST_DATA_TEST_CASE(no_route, data::make(kShapes), shape) {
    Head head;
    head.path = "/none/1";
    check_refused(head, shape, 404);
}

BOOST_DATA_TEST_CASE(method_without_a_route, data::make(kShapes), shape) {
    Head head;
    head.path = "/r/1";
    check_refused(head, shape, 405);
}

BOOST_DATA_TEST_CASE(no_try_id, data::make(kShapes), shape) {
    Head head;
    head.try_id = "";
    check_refused(head, shape, 400);
}

BOOST_DATA_TEST_CASE(try_that_was_seen, data::make(kShapes), shape) {
    check_refused(Head{}, shape, 409,
                  [](Bed& bed) { bed.gateway->hall.tries.begin(pith::mono_now(), "c", "t"); });
}

// review/7.
BOOST_DATA_TEST_CASE(allowance_that_is_used_up, data::make(kShapes), shape) {
    check_refused(Head{}, shape, 429, [](Bed& bed) {
        tide::Left left;
        auto& basin = bed.gateway->hall.basin;
        basin.allowances(pith::mono_now(), {{"c", 1}}, &left);
        for (int i = 0; i < kWaiting; ++i)
            basin.arrive(pith::mono_now(), "c", bed.gateway->hall.enter(nullptr), pith::kNever);
    });
}

BOOST_DATA_TEST_CASE(no_server, data::make(kShapes), shape) {
    check_refused(Head{}, shape, 503, [](Bed& bed) {
        weft::Listing none;
        none.epoch = 1;
        none.version = 2;
        bed.gateway->hall.pool.listing(pith::mono_now(), none);
    });
}

BOOST_DATA_TEST_CASE(process_that_is_stopping, data::make(kShapes), shape) {
    check_refused(Head{}, shape, 503, [](Bed& bed) { bed.gateway->hall.stopping = true; });
}

BOOST_DATA_TEST_CASE(newer_bundle_that_is_not_known_yet, data::make(kShapes), shape) {
    Head head;
    head.key = "stranger";
    check_refused(head, shape, 503, [](Bed& bed) { bed.gateway->hall.behind_until = pith::kNever; });
}

BOOST_DATA_TEST_CASE(expectation_that_is_not_known, data::make(kShapes), shape) {
    Head head;
    head.more = "Expect: tea\r\n";
    check_refused(head, shape, 417);
}

BOOST_DATA_TEST_CASE(body_over_the_limit, data::make(kShapes), shape) {
    Setup setup = small_machine(Speech::proving);
    setup.body_bytes = kHeldLimit;
    Bed bed(setup, never_called);
    check(bed, Head{}, shape, 413);
}

// One long body at a time goes to a server as it comes.
BOOST_DATA_TEST_CASE(another_long_body_is_under_way, data::make(kShapes), shape) {
    Latch reached;
    Bed bed(small_machine(Speech::proving), [&](Connection& c, Request& q) {
        BOOST_TEST(q.field("Marble-Try") == "first");
        reached.open();
        c.wait_for_close();
        return false;
    });
    auto first = bed.gateway->caller();
    Head head;
    head.try_id = "first";
    first.send(head_text(head, {Framing::length, Order::whole_body_first, false}));
    // One whose caller lags would make place: it goes on sending.
    std::atomic<bool> over{false};
    std::thread sending([&] {
        for (std::size_t n = kPiece; !over && n < kBody; n += kPiece) first.send(std::string(kPiece, 'x'));
    });
    reached.wait();
    check(bed, Head{}, shape, 503);
    over = true;
    sending.join();
}

BOOST_AUTO_TEST_CASE(chunks_that_are_none) {
    const Shape shape{Framing::chunks, Order::whole_body_first, false};
    Bed bed(small_machine(Speech::proving), never_called);
    auto caller = bed.gateway->caller();
    BOOST_TEST(
        caller.send(head_text(Head{}, shape) + "no chunk\r\n" + request_as_text() + request_as_text()));
    const Told told = caller.read();
    BOOST_TEST(told.status == 400, told);
    BOOST_TEST(!told.kept);
    BOOST_TEST(caller.read_to_end() == "");
    BOOST_TEST(bed.arrivals("inner") == 0);
}

// A body that was read whole stands in nobody's way.
BOOST_AUTO_TEST_CASE(connection_goes_on_after_a_body_that_was_read) {
    Bed bed(small_machine(Speech::proving), [](Connection& c, Request& q) {
        if (!c.read_body(&q)) return false;
        c.send(answer(200, q.field("Marble-Try"), std::to_string(q.body.size())));
        return true;
    });
    auto caller = bed.gateway->caller();
    const std::string body = request_as_text() + request_as_text();
    const std::string unknown = "Marble-Key: stranger";
    std::string refused = caller.request(Route::write, "t1", {}, body);
    refused.replace(refused.find("Marble-Key: abc"), std::string("Marble-Key: abc").size(), unknown);
    caller.send(refused);
    Told told = caller.read();
    BOOST_TEST(told.status == 401, told);
    BOOST_TEST(told.kept);
    caller.send(caller.request(Route::write, "t2", {}, body));
    told = caller.read();
    BOOST_TEST(told.status == 200, told);
    BOOST_TEST(told.body == std::to_string(body.size()));
    BOOST_TEST(told.kept);
    const Shape shape{Framing::length, Order::whole_body_first, false};
    Head head;
    head.try_id = "t3";
    caller.send(head_text(head, shape) + body_of(shape));
    told = caller.read();
    BOOST_TEST(told.status == 200, told);
    BOOST_TEST(told.body == std::to_string(kBody));
    BOOST_TEST(told.kept);
    BOOST_TEST(caller.ask(Route::read, "t4").status == 200);
    BOOST_TEST(bed.arrivals("inner") == 0);
}
