#define BOOST_TEST_MODULE mime_fleet
#include <zmq.h>

#include <boost/test/unit_test.hpp>
#include <set>
#include <thread>

#include "field.hpp"
#include "mime/stand_ins.hpp"

// Real processes, waited for by what they log. No verdict here depends on how fast the machine is.

namespace {

mime::CallerPlan callers(const std::vector<std::string>& p, const std::string& key, const std::string& method,
                         const std::string& path) {
    mime::CallerPlan c;
    c.proxies = p;
    c.key = key;
    c.method = method;
    c.path = path;
    c.tag = key + method;
    c.rate = 40;
    c.seconds = 3;
    c.deadline_ms = 20000;
    return c;
}

// Callers were served. How many is no verdict here: a machine that stands still for seconds rightly makes
// proxies fall back and answers late; loom counts refusals in virtual time.
void served(const mime::CallerTally& t) {
    BOOST_TEST(t.well > 0u, mime::tally_json(t));
    BOOST_TEST(t.wrong == 0u);
    BOOST_TEST(t.well + t.turned_away + t.unknown + t.lost == t.asked, mime::tally_json(t));
}

// What callers were told must agree with what servers did, whatever happened in between.
void agree(const mime::CallerTally& t, const std::map<std::string, std::uint64_t>& ledger, bool write) {
    BOOST_TEST(t.wrong == 0u);
    for (const auto& id : t.stood)
        BOOST_TEST((ledger.count(id) == 1u), "a success the servers do not know: " << id);
    for (const auto& id : t.not_run) BOOST_TEST((ledger.count(id) == 0u), "said not run, but ran: " << id);
    if (write)
        for (const auto& p : ledger) BOOST_TEST(p.second == 1u, "ran twice: " << p.first);
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_whole_path) {
    Field d(5);
    auto& f = *d.f;
    int code = 0;
    // A broken bundle is refused outright; nothing changes.
    std::string said = d.push("{\"bundle\":{}}", &code);
    BOOST_TEST(code == 1, said);
    // A valid one is acknowledged and reaches every proxy.
    said = d.push(f.sign(f.sample_bundle(1)), &code);
    BOOST_REQUIRE_MESSAGE(code == 0, said);
    for (const auto& p : f.names("proxy")) {
        BOOST_REQUIRE_MESSAGE(f.wait_line(p, {"event=bundle", "number=1"}), p);
        BOOST_REQUIRE_MESSAGE(f.wait_line(p, {"event=ready"}), p);
    }
    auto r = mime::call(callers(d.all(), "key-large", "GET", "/notices/1"));
    served(r);
    auto w = mime::call(callers(d.all(), "key-large", "POST", "/bids"));
    served(w);
    auto led = d.ledger();
    agree(r, led, false);
    agree(w, led, true);
    // Bytes of strangers at any port end nothing.
    for (const char* n : {"p1", "k1"}) {
        f.forget_lines(n);
        void* z = zmq_ctx_new();
        void* s = zmq_socket(z, ZMQ_PUSH);
        zmq_connect(s, ("tcp://" + f.weft(n)).c_str());
        zmq_send(s, "garbage", 7, 0);
        BOOST_TEST(f.wait_line(n, {"event=frame_dropped", "why=brief"}), n);
        int linger = 0;
        zmq_setsockopt(s, ZMQ_LINGER, &linger, sizeof linger);
        zmq_close(s);
        zmq_ctx_term(z);
        for (const auto& a : {f.weft(n), f.desk(n)}) {
            weft::Ask q{weft::http::verb::post, "/\x01\x02", 11};
            q.body() = std::string(100000, 'x');
            (void)weft::call_blocking(a, q, 2 * pith::kSecond);
        }
        f.kill(n, SIGHUP);
        BOOST_TEST(f.wait_line(n, {"event=log_level"}), n);  // it lives and hears
        f.kill(n, SIGHUP);
    }
    // An unknown key, a wrong route, a customer's flood.
    auto x = callers(d.all(), "key-none", "GET", "/notices/1");
    x.seconds = 0.5;
    auto xt = mime::call(x);
    BOOST_TEST(xt.kinds["key_unknown"] == xt.asked);
    // The next number wins; the same number with other content does not.
    said = d.push(f.sign(f.sample_bundle(2, 2)), &code);
    BOOST_TEST(code == 0, said);
    for (const auto& p : f.names("proxy")) BOOST_TEST(f.wait_line(p, {"event=bundle", "number=2"}), p);
    said = d.push(f.sign(f.sample_bundle(2, 3)), &code);
    BOOST_TEST(code == 1, said);
    // One that was decided and is sent again is never refused; another content under its number is.
    said = d.push(f.sign(f.sample_bundle(1)), &code);
    BOOST_TEST(code == 0, said);
    BOOST_TEST(said.find("number 1") != std::string::npos, said);
    BOOST_TEST(said.find("standing: 2") != std::string::npos, said);
    said = d.push(f.sign(f.sample_bundle(1, 3)), &code);
    BOOST_TEST(code == 1, said);
    said = d.helm({"status"}, &code);
    BOOST_TEST(code == 0, said);
}

BOOST_AUTO_TEST_CASE(servers_that_fail) {
    Field d(3);
    auto& f = *d.f;
    d.serve();
    for (const char* mode : {"lose", "cut", "garbage", "other", "surplus", "crash_before"}) {
        for (const auto& s : f.names("server")) d.control(s, std::string("{\"mode\":\"") + mode + "\"}");
        auto c = callers(d.all(), "key-large", "POST", "/bids");
        c.tag += mode;
        c.seconds = 1;
        auto w = mime::call(c);
        BOOST_TEST(w.asked > 0u);
        if (std::string(mode) != "surplus") BOOST_TEST(w.well == 0u, mode << mime::tally_json(w));
        agree(w, d.ledger(), true);
    }
    for (const auto& s : f.names("server")) d.control(s, "{\"mode\":\"well\"}");
}

BOOST_AUTO_TEST_CASE(a_full_disk_is_named_and_harms_nobody_else) {
    Field d(3);
    auto& f = *d.f;
    d.serve();
    f.fill_disk("k1");
    int code = 0;
    std::string said =
        d.push(f.sign(f.sample_bundle(2)), &code);  // k1 is asked first and can't; the next keeper does
    BOOST_TEST(code == 0, said);
    BOOST_TEST(f.wait_line("k1", {"event=disk_failed"}));
    for (const auto& p : f.names("proxy")) BOOST_TEST(f.wait_line(p, {"event=bundle", "number=2"}), p);
    said = d.helm({"status"}, &code);
    BOOST_TEST((said.find("failed") != std::string::npos), said);
    BOOST_TEST((said.find("disk refuses writes") != std::string::npos), said);
    BOOST_TEST((said.find("k1: its disk failed: make room") != std::string::npos), said);
    auto c = callers(d.all(), "key-large", "GET", "/notices/1");
    c.seconds = 1;
    auto r = mime::call(c);
    served(r);
    // With room again it goes on by itself, and its vote counts: without it there is no majority here.
    f.free_disk("k1");
    BOOST_TEST(f.wait_lines("k1", {{"event=disk_recovered"}, {"event=committed", "number=2"}}));
    f.kill("k2", SIGKILL);
    f.wait_end("k2");
    said = d.push(f.sign(f.sample_bundle(3)), &code);
    BOOST_TEST(code == 0, said);
    f.start("k2");
    BOOST_TEST(f.wait_line("k2", {"event=committed", "number=3"}));
    // Filled once more and started again on a disk with space it is mended, too.
    f.fill_disk("k1");
    said = d.push(f.sign(f.sample_bundle(4)), &code);
    BOOST_TEST(code == 0, said);
    BOOST_TEST(f.wait_line("k1", {"event=disk_failed"}));
    f.kill("k1", SIGTERM);
    BOOST_TEST(f.wait_end("k1") == 0);
    f.forget_lines("k1");
    f.start("k1");
    BOOST_TEST(f.wait_line("k1", {"event=committed", "number=4"}));
}

BOOST_AUTO_TEST_CASE(kills_rolls_and_a_lost_disk) {
    Field d(4);
    auto& f = *d.f;
    d.serve();
    // A planned stop under load: work in flight is finished, the rest is told that it did not run.
    mime::CallerTally t;
    std::thread load([&] {
        auto c = callers(d.all(), "key-large", "POST", "/bids");
        c.seconds = 6;
        t = mime::call(c);
    });
    f.kill("p1", SIGTERM);
    BOOST_TEST(f.wait_end("p1") == 0);
    f.kill("p2", SIGKILL);
    f.wait_end("p2");
    load.join();
    BOOST_TEST(t.well > 0u);
    agree(t, d.ledger(), true);
    f.start("p1");
    f.start("p2");
    BOOST_TEST(f.wait_line("p1", {"event=ready"}));
    BOOST_TEST(f.wait_line("p2", {"event=ready"}));
    // A keeper dies and loses its disk; the bundle stands, and the emptied keeper mends.
    f.kill("k1", SIGKILL);
    f.wait_end("k1");
    BOOST_REQUIRE(std::system(("rm -rf " + d.folder + "/k1.data").c_str()) == 0);
    int code = 0;
    std::string said = d.push(f.sign(f.sample_bundle(2)), &code);
    BOOST_TEST(code == 0, said);
    f.forget_lines("k1");
    f.start("k1");
    BOOST_TEST(f.wait_lines(
        "k1", {{"event=committed", "number=2"}, {"event=membership", "joining=\"\"", "voting=yes"}}));
    for (const auto& p : f.names("proxy")) BOOST_TEST(f.wait_line(p, {"event=bundle", "number=2"}), p);
    // A keeper lost for good is replaced by one of its name at another address; only its own settings know of
    // it.
    f.kill("k2", SIGKILL);
    f.wait_end("k2");
    BOOST_REQUIRE(std::system(("rm -rf " + d.folder + "/k2.data").c_str()) == 0);
    f.move("k2");
    f.forget_lines("k2");
    f.start("k2");
    BOOST_TEST(f.wait_lines(
        "k2", {{"event=committed", "number=2"}, {"event=membership", "joining=\"\"", "voting=yes"}}));
    f.kill("k3", SIGKILL);
    f.wait_end("k3");
    said = d.push(f.sign(f.sample_bundle(3)), &code);  // a majority needs the new one now
    BOOST_TEST(code == 0, said);
    f.start("k3");
    BOOST_TEST(f.wait_line("k3", {"event=committed", "number=3"}));
    // A proxy is drained by hand and comes back.
    f.forget_lines("p4");
    said = d.helm({"drain", "p4"}, &code);
    BOOST_TEST(code == 0, said);
    BOOST_TEST(f.wait_line("p4", {"event=node_marked", "mark=drain"}));
    said = d.helm({"undrain", "p4"}, &code);
    BOOST_TEST(code == 0, said);
    BOOST_TEST(f.wait_line("p4", {"event=ready"}));
    // Frozen and woken: it goes on from the newest bundle.
    f.kill("p3", SIGSTOP);
    said = d.push(f.sign(f.sample_bundle(4)), &code);
    BOOST_TEST(code == 0, said);
    f.kill("p3", SIGCONT);
    BOOST_TEST(f.wait_line("p3", {"event=bundle", "number=4"}));
}
