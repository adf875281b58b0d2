#define BOOST_TEST_MODULE span_threads
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <mutex>
#include <thread>

#include "pith/hash.hpp"
#include "span/errand.hpp"

// Several threads over the shared shards at once; run under the thread sanitizer. Counts are checked, not
// times.

namespace {

creed::PolicyPtr policy(int number) {
    const std::string t =
        R"({"number":)" + std::to_string(number) +
        R"(,"services":[{"name":"s"}],"routes":[{"name":"r","path":"/s","methods":["POST"],"service":"s","kind":"write","timeout_ms":800}],"customers":[{"name":"a","allowance_per_s":100000,"routes":["r"]},{"name":"b","allowance_per_s":100000,"routes":["r"]}],"keys":[{"digest":")" +
        creed::key_digest("ka") + R"(","customer":"a"},{"digest":")" + creed::key_digest("kb") +
        R"(","customer":"b"}]})";
    return std::make_shared<const creed::Policy>(creed::read_bundle(t).value());
}

}  // namespace

BOOST_AUTO_TEST_CASE(each_visit_ends_once_and_slots_come_back) {
    pith::crypto_start();
    tide::Basin basin{tide::Tuning{}};
    span::Pool pool("p1", "a", span::PoolTuning{});
    span::Tries tries;
    std::mutex m;
    creed::PolicyPtr now = policy(1);
    span::Lobby lobby(basin, pool, tries, [&] {
        std::lock_guard<std::mutex> l(m);
        return now;
    });
    tide::Left none;
    basin.allowances(0, {{"a", 100000}, {"b", 100000}}, &none);
    basin.world(0, 1, tide::Standing::whole);
    weft::Listing li{1, "p1", 1, {}};
    for (int i = 1; i <= 8; ++i)
        li.servers.push_back({"127.0.0.1:" + std::to_string(i), "s", "i" + std::to_string(i), "a", 0});
    pool.listing(0, li);
    std::atomic<std::uint64_t> queued{0}, ended{0};
    std::atomic<bool> arriving{true};
    std::vector<std::thread> t;
    for (int k = 0; k < 3; ++k)
        t.emplace_back([&, k] {
            for (int i = 0; i < 2000; ++i) {
                span::Entry e;
                e.head = {"POST", "/s", k % 2 == 0 ? "ka" : "kb", std::to_string(k) + "-" + std::to_string(i),
                          "5000", ""};
                const tide::Id id = static_cast<tide::Id>(k * 1000000 + i + 1);
                lobby.enter(1000 + i, id, false, &e);
                if (!e.queued && !e.released) continue;
                if (e.queued) ++queued;
                if (e.queued && i % 7 == 0 && basin.leave(1000 + i, e.plan.customer, id)) ++ended;
                span::Errand x(e.plan, pool,
                               [&basin, i, c = e.plan.customer] { return basin.draw(1000 + i, c); });
                // A server that began to leave meanwhile is changed for another: that one's slot is this errand's too.
                for (span::Do d = x.start(1000 + i); d == span::Do::open;) {
                    span::Do other = span::Do::refuse;
                    if (!x.opened(1000 + i, true, 0, &other)) {
                        d = other;
                        continue;
                    }
                    tries.sent(e.plan.customer, e.plan.try_id);
                    d = x.exchanged(1000 + i, i % 50 == 0 ? span::Step::lost : span::Step::answered, 200);
                }
            }
        });
    std::thread control([&] {
        for (std::uint64_t v = 2; arriving; ++v) {
            tide::Left l;
            basin.advance(static_cast<pith::Micros>(1000 + v * 500), &l);
            ended += l.released.size() + l.expired.size();
            li.version = v;
            pool.listing(static_cast<pith::Micros>(v), li);
            pool.mark("127.0.0.1:3", v % 2 == 0);
            basin.world(static_cast<pith::Micros>(v), 1 + v % 3, tide::Standing::whole);
            basin.counts(static_cast<pith::Micros>(1000 + v * 500));
            std::lock_guard<std::mutex> g(m);
            now = policy(static_cast<int>(v));
        }
    });
    for (auto& x : t) x.join();
    arriving = false;
    control.join();
    tide::Left l;
    basin.advance(1000 * pith::kSecond, &l);
    ended += l.released.size() + l.expired.size();
    BOOST_TEST(queued == ended);
    for (const auto& s : pool.view(0)) BOOST_TEST(s.in_flight == 0u);
}
