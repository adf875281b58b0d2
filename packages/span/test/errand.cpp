#define BOOST_TEST_MODULE span_errand
#include "span/errand.hpp"

#include <boost/test/unit_test.hpp>

using namespace span;
using pith::Kind;
using pith::kMilli;
using pith::kSecond;

// One request at servers 1..n of a service, driven by hand (docs/design.md 7.3, 7.4).
namespace {

struct Stage {
    Pool pool;
    Plan p;
    std::unique_ptr<Errand> e;
    pith::Micros now = 0;
    Do d = Do::wait;

    explicit Stage(int n, bool write = false) : pool("p1", "a", PoolTuning{}) {
        weft::Listing l;
        l.epoch = l.version = 1;
        for (int i = 1; i <= n; ++i)
            l.servers.push_back(
                {"127.0.0.1:" + std::to_string(i), "s", "i" + std::to_string(i), "a", kServing});
        pool.listing(0, l);
        p.service = "s";
        p.try_id = "t";
        p.write = write;
        p.deadline = kSecond;
        p.timeout = kSecond;
    }
    void credit(int n) {
        for (int i = 0; i < 5 * n; ++i) pool.first_visit("s");
    }
    void start() {
        e = std::make_unique<Errand>(p, pool, [] { return true; });
        d = e->start(now);
    }
    // To the server picked, and what came of it.
    std::string send(Step s, int status = 0) {
        BOOST_REQUIRE(d == Do::open);
        const std::string at = e->slot().instance;
        if (!e->opened(now, true, 0, &d)) return "unsent";
        now += 10 * kMilli;
        d = e->exchanged(now, s, status);
        return at;
    }
    Kind kind() const { return e->refusal().error.kind; }
};

}  // namespace

// Not run there: a write too goes to another server, and may be tried again under its id in the end.
BOOST_AUTO_TEST_CASE(shed_and_misdirected_go_elsewhere_also_for_writes) {
    for (const Step s : {Step::shed, Step::misdirected}) {
        Stage t(4, true);
        t.credit(2);
        t.start();
        const auto a = t.send(s);
        BOOST_TEST(!t.e->sent());
        const auto b = t.send(s);
        BOOST_TEST(a != b);
        const auto c = t.send(Step::answered, 200);
        BOOST_TEST((c != a && c != b));
        BOOST_TEST((t.d == Do::answer));
        BOOST_TEST(t.e->sent());
    }
}

BOOST_AUTO_TEST_CASE(all_shed_is_not_run) {
    Stage t(5, true);
    t.credit(5);
    t.start();
    for (int i = 0; i < 3; ++i) t.send(Step::shed);
    BOOST_TEST((t.d == Do::refuse));  // three servers at most
    BOOST_TEST((t.kind() == Kind::crowded));
    BOOST_TEST(!t.e->refusal().ran_unknown);
    BOOST_TEST(t.e->refusal().retry_after >= 100 * kMilli);
    BOOST_TEST(!t.e->sent());
    Stage u(5, true);
    u.credit(5);
    u.p.tries = 2;
    u.start();
    u.send(Step::shed);
    u.send(Step::misdirected);
    BOOST_TEST((u.d == Do::refuse));
    BOOST_TEST((u.kind() == Kind::no_server));
    BOOST_TEST(!u.e->refusal().ran_unknown);
}

// What may have run stays so, whatever a later server says.
BOOST_AUTO_TEST_CASE(a_shed_after_a_lost_answer_may_have_run) {
    Stage t(4);
    t.credit(3);
    t.start();
    t.send(Step::lost);
    BOOST_TEST((t.d == Do::open));
    t.send(Step::shed);
    t.send(Step::shed);
    BOOST_TEST((t.d == Do::refuse));
    BOOST_TEST((t.kind() == Kind::answer_lost));
    BOOST_TEST(t.e->refusal().ran_unknown);
    BOOST_TEST(t.e->sent());
}

BOOST_AUTO_TEST_CASE(a_write_that_may_have_run_is_never_sent_again) {
    for (const Step s : {Step::lost, Step::late, Step::garbled}) {
        Stage t(4, true);
        t.credit(3);
        t.start();
        t.send(s);
        BOOST_TEST((t.d == Do::refuse));
        BOOST_TEST(t.e->refusal().ran_unknown);
        BOOST_TEST(t.e->sends() == 1);
    }
    Stage t(4, true);
    t.credit(3);
    t.start();
    t.send(Step::answered, 500);
    BOOST_TEST((t.d == Do::answer));
}

// A read's 5xx is passed on where no other server gives a better one.
BOOST_AUTO_TEST_CASE(a_reads_5xx_goes_elsewhere_or_is_passed_on) {
    Stage t(4);
    t.credit(1);
    t.start();
    const auto a = t.send(Step::answered, 500);
    BOOST_TEST((t.d == Do::open));
    BOOST_TEST(t.send(Step::answered, 200) != a);
    BOOST_TEST((t.d == Do::answer));

    Stage alone(1);
    alone.credit(1);
    alone.start();
    alone.send(Step::answered, 500);
    BOOST_TEST((alone.d == Do::answer));

    Stage poor(4);
    BOOST_TEST(poor.pool.take_retry("s"));  // what it starts with
    poor.start();
    poor.send(Step::answered, 500);
    BOOST_TEST((poor.d == Do::answer));

    Stage lost(4);
    lost.credit(2);
    lost.start();
    lost.send(Step::answered, 500);
    lost.send(Step::lost);
    lost.send(Step::shed);
    BOOST_TEST((lost.d == Do::answer));  // the first one's
}

// Every send beyond the first is charged, as it is sent.
BOOST_AUTO_TEST_CASE(each_send_beyond_the_first_is_charged) {
    Stage t(6, true);
    BOOST_TEST(t.pool.take_retry("s"));
    t.p.offer_by = 100 * kMilli;
    t.start();
    t.send(Step::shed);
    BOOST_TEST((t.d == Do::wait));  // until there is credit, or no time is left
    BOOST_TEST(t.e->sends() == 1);
    BOOST_TEST((t.e->again(99 * kMilli) == Do::wait));
    t.credit(1);
    BOOST_TEST((t.e->again(99 * kMilli) == Do::open));
    Do done = Do::wait;
    BOOST_TEST(t.pool.take_retry("s"));
    BOOST_TEST(!t.e->opened(100 * kMilli, true, 0, &done));
    BOOST_TEST((done == Do::refuse));
    BOOST_TEST((t.kind() == Kind::crowded));
    BOOST_TEST(!t.e->refusal().ran_unknown);
    BOOST_TEST(t.e->sends() == 1);
    // Taken by another meanwhile: it is not sent, and says what is true.
    Stage u(6, true);
    u.p.offer_by = kMilli;
    u.start();
    u.send(Step::shed);
    BOOST_REQUIRE(u.d == Do::open);
    BOOST_TEST(u.pool.take_retry("s"));
    Do other = Do::wait;
    BOOST_TEST(!u.e->opened(u.now, true, 0, &other));
    BOOST_TEST((other == Do::refuse));
    BOOST_TEST((u.kind() == Kind::crowded));
    for (const auto& v : u.pool.view(u.now)) BOOST_TEST(v.in_flight == 0u);
    // A client's own marked retry is charged too, and earns nothing.
    Stage w(2);
    w.p.retry = true;
    w.start();
    w.send(Step::answered, 200);
    BOOST_TEST(!w.pool.has_retry("s"));
}

// Not offered to a server in time: told so at once, not at the deadline.
BOOST_AUTO_TEST_CASE(waiting_for_a_server_ends_at_offer_by) {
    Stage t(1);
    t.p.offer_by = 60 * kMilli;
    bool known = false;
    std::vector<Slot> held;
    while (auto s = t.pool.pick(0, "s", {}, &known, 10 * kSecond)) held.push_back(*s);
    BOOST_TEST(held.size() == 4u);
    t.start();
    BOOST_TEST((t.d == Do::wait));
    BOOST_TEST(t.e->wait_until(t.now) == 50 * kMilli);
    t.now = 50 * kMilli;
    BOOST_TEST((t.e->again(t.now) == Do::wait));
    BOOST_TEST(t.e->wait_until(t.now) == 60 * kMilli);
    t.now = 60 * kMilli;
    BOOST_TEST((t.e->again(t.now) == Do::refuse));
    BOOST_TEST((t.kind() == Kind::crowded));
    BOOST_TEST(!t.e->refusal().ran_unknown);
    BOOST_TEST(t.e->refusal().retry_after >= 100 * kMilli);
    BOOST_TEST(!t.e->sent());
    // A server that is free just then is used.
    t.start();
    t.pool.done(t.now, held[0], Outcome::well, kMilli);
    BOOST_TEST((t.e->again(t.now) == Do::open));
}

BOOST_AUTO_TEST_CASE(a_try_that_was_not_run_may_come_again) {
    Tries t;
    BOOST_TEST(t.begin(0, "c", "1"));
    t.sent("c", "1");
    t.not_run("c", "1");
    BOOST_TEST(t.begin(1, "c", "1"));
}

// The kind of a route changes while a request waits: a write stays one, and a read that became one comes
// again.
BOOST_AUTO_TEST_CASE(a_changed_kind_of_route_repeats_no_write) {
    const auto policy = [](int number, const std::string& kind) {
        const std::string text =
            "{\"number\":" + std::to_string(number) +
            R"(,"services":[{"name":"s"}],"routes":[{"name":"r","host":"h","prefix":"/s/","service":"s","kind":")" +
            kind + R"(","timeout_ms":800}]})";
        return std::make_shared<const creed::Policy>(creed::read_bundle(text, true).value());
    };
    Dialect dialect;
    dialect.strict = false;
    for (const bool was_write : {true, false}) {
        creed::PolicyPtr now = policy(1, was_write ? "write" : "read");
        tide::Basin basin{tide::Tuning{}};
        Pool pool("p1", "a", PoolTuning{});
        Tries tries;
        Lobby lobby(
            basin, pool, tries, [&now] { return now; }, dialect);
        Entry e;
        e.head = {"POST", "/s/1", "", "t", "500", "", "h"};
        lobby.enter(0, 1, false, &e);
        BOOST_REQUIRE(e.released);
        BOOST_TEST(lobby.released(1, &e));
        now = policy(2, was_write ? "read" : "write");
        if (was_write) {
            BOOST_TEST(lobby.released(2, &e));
            BOOST_TEST(e.plan.write);
            continue;
        }
        BOOST_TEST(!lobby.released(2, &e));
        BOOST_TEST((e.refusal.error.kind == Kind::not_ready));
        BOOST_TEST(!e.refusal.ran_unknown);
        BOOST_TEST(e.refusal.retry_after > 0);
    }
}
