#define BOOST_TEST_MODULE mime_exchanges
#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "mime/stand_ins.hpp"
#include "pith/hash.hpp"
#include "span/front.hpp"

// Approved transcripts: whole exchanges over real sessions between a caller, the gateway's front and stand-in
// servers, all in this process. A difference is written beside the approved file; MS_APPROVE=1 takes it over.

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

struct Stage {
    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> guard{io.get_executor()};
    span::Hall hall{"p1", "a"};
    std::vector<std::unique_ptr<span::Worker>> workers;
    std::unique_ptr<span::Front> front;
    std::map<std::string, std::unique_ptr<mime::Server>> servers;
    std::map<std::string, std::string> at;
    asio::steady_timer pulse{io};
    std::thread t;
    std::string address;
    std::ostringstream said;

    Stage() {
        pith::crypto_start();
        const std::string keys = "\"keys\":[{\"digest\":\"" + creed::key_digest("abc") +
                                 "\",\"customer\":\"large\"},{\"digest\":\"" + creed::key_digest("low") +
                                 "\",\"customer\":\"small\"}]";
        const std::string text =
            R"({"number":1,"services":[{"name":"notices"},{"name":"bids"},{"name":"gone"},{"name":"posing"}],"routes":[)"
            R"({"name":"read","path":"/notices/*","methods":["GET","HEAD"],"service":"notices","kind":"read","timeout_ms":20000},)"
            R"({"name":"lodge","path":"/bids","methods":["POST"],"service":"bids","kind":"write","timeout_ms":20000},)"
            R"({"name":"none","path":"/gone","methods":["GET"],"service":"gone","kind":"read","timeout_ms":20000},)"
            R"({"name":"posing","path":"/posing","methods":["POST"],"service":"posing","kind":"write","timeout_ms":20000}],)"
            R"("customers":[{"name":"large","allowance_per_s":1000,"routes":["read","lodge","none","posing"]},{"name":"small","allowance_per_s":1000,"routes":["read"]}],)" +
            keys + "}";
        auto b = creed::read_bundle(text);
        BOOST_TEST_REQUIRE(pith::why(b) == "");
        hall.policy(std::make_shared<const creed::Policy>(*b));
        tide::Left l;
        hall.basin.allowances(pith::mono_now(), {{"large", 1000}, {"small", 1000}}, &l);
        hall.basin.world(pith::mono_now(), 1, tide::Standing::whole);
        hall.ready = true;
        weft::Listing li;
        li.epoch = li.version = 1;
        add("notices", "n-1", "notices", &li);
        add("bids", "b-1", "bids", &li);
        add("posing", "x-1", "bids", &li);  // listed as posing, but it says that it is bids
        hall.pool.listing(pith::mono_now(), li);
        hall.arm = [this] { asio::post(io, [this] { beat(); }); };
        workers.push_back(std::make_unique<span::Worker>(hall));
        front = std::make_unique<span::Front>(io, hall, workers);
        auto a = front->open("127.0.0.1:0");
        BOOST_TEST_REQUIRE(pith::why(a) == "");
        address = *a;
        workers[0]->start();
        t = std::thread([this] { io.run(); });
    }
    ~Stage() {
        asio::post(io, [this] { front->close(); });
        workers[0]->stop();
        io.stop();
        t.join();
    }
    void add(const std::string& listed, const std::string& instance, const std::string& truly,
             weft::Listing* l) {
        servers[listed] = std::make_unique<mime::Server>(io, truly, instance, pith::kMilli);
        at[listed] = servers[listed]->open("127.0.0.1:0").value();
        l->servers.push_back({at[listed], listed, instance, "a", span::kServing});
    }
    void beat() {
        tide::Left l;
        const bool busy = hall.basin.advance(pith::mono_now(), &l);
        hall.left(l);
        if (!busy) return;
        pulse.expires_after(std::chrono::milliseconds(2));
        pulse.async_wait([this](boost::system::error_code ec) {
            if (!ec) beat();
        });
    }
    void mode(const std::string& s, const std::string& m) {
        weft::Ask q{weft::http::verb::post, "/control", 11};
        q.body() = "{\"mode\":\"" + m + "\"}";
        BOOST_REQUIRE(weft::call_blocking(at[s], q, 20 * pith::kSecond).has_value());
    }
    // Sends the bytes, ends the sending side, and writes down all that comes back.
    void exchange(const std::string& title, const std::string& bytes, const std::string& shown = {}) {
        asio::io_context o;
        tcp::socket s(o);
        s.connect(weft::endpoint(address));
        boost::system::error_code ec;
        asio::write(s, asio::buffer(bytes), ec);
        std::string in;
        asio::read(s, asio::dynamic_buffer(in), ec);
        said << "=== " << title << "\n";
        std::istringstream q((shown.empty() ? bytes : shown) + "\n");
        for (std::string line; std::getline(q, line);)
            said << "> " << line.substr(0, line.find('\r')) << "\n";
        std::istringstream r(in);
        for (std::string line; std::getline(r, line);)
            said << "< " << line.substr(0, line.find('\r')) << "\n";
        said << "\n";
    }
};

std::string get(const std::string& path, const std::string& more, const std::string& id,
                const std::string& method = "GET", const std::string& key = "abc") {
    return method + " " + path + " HTTP/1.1\r\nHost: gate\r\nMarble-Key: " + key + "\r\nMarble-Try: " + id +
           "\r\nMarble-Deadline-Ms: 20000\r\n" + more + "\r\n";
}
const std::string kClose = "Connection: close\r\n";

}  // namespace

BOOST_AUTO_TEST_CASE(whole_exchanges) {
    Stage s;
    s.exchange("a read", get("/notices/7?page=2", kClose, "t1"));
    s.exchange("the head alone", get("/notices/7", kClose, "t2", "HEAD"));
    s.exchange("a write", get("/bids", kClose + "Content-Length: 5\r\n", "t3", "POST") + "offer");
    s.exchange("a chunked write", get("/bids", kClose + "Transfer-Encoding: chunked\r\n", "t4", "POST") +
                                      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    s.exchange(
        "a write that asks first",
        get("/bids", kClose + "Content-Length: 5\r\nExpect: 100-continue\r\n", "t5", "POST") + "offer");
    s.exchange("two at once on one session", get("/notices/1", "", "t6") + get("/notices/2", kClose, "t7"));
    s.exchange("the same try again", get("/bids", kClose + "Content-Length: 5\r\n", "t3", "POST") + "offer");
    s.exchange("no key",
               "GET /notices/7 HTTP/1.1\r\nHost: gate\r\nMarble-Try: t8\r\nMarble-Deadline-Ms: "
               "500\r\nConnection: close\r\n\r\n");
    s.exchange("a key that is not known", get("/notices/7", kClose, "t9", "GET", "abd"));
    s.exchange("no try id",
               "GET /notices/7 HTTP/1.1\r\nHost: gate\r\nMarble-Key: abc\r\nMarble-Deadline-Ms: "
               "500\r\nConnection: close\r\n\r\n");
    s.exchange("no deadline",
               "GET /notices/7 HTTP/1.1\r\nHost: gate\r\nMarble-Key: abc\r\nMarble-Try: t10\r\nConnection: "
               "close\r\n\r\n");
    s.exchange("a route that this customer may not use",
               get("/bids", kClose + "Content-Length: 0\r\n", "t11", "POST", "low"));
    s.exchange("no such route", get("/nothing", kClose, "t12"));
    s.exchange("a known path, another method", get("/bids", kClose, "t13"));
    s.exchange("no server of the service", get("/gone", kClose, "t14"));
    s.exchange("a server that is not what the listing says",
               get("/posing", kClose + "Content-Length: 0\r\n", "t15", "POST"));
    s.exchange("both lengths",
               get("/bids", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "t16", "POST") +
                   "0\r\n\r\nGET /x HTTP/1.1\r\n\r\n");
    s.exchange("two lengths",
               get("/bids", "Content-Length: 5\r\nContent-Length: 6\r\n", "t17", "POST") + "offers");
    s.exchange("two hosts", get("/notices/7", "Host: other\r\n", "t18"));
    s.exchange("two keys", get("/notices/7", "Marble-Key: low\r\n", "t19"));
    s.exchange("an old version", "GET /notices/7 HTTP/1.0\r\nHost: gate\r\n\r\n");
    s.exchange("no HTTP at all", "\x16\x03\x01\x02garbage\r\n\r\n", "(a TLS hello)");
    s.exchange("a coding that is not known",
               get("/bids", "Transfer-Encoding: gzip, chunked\r\n", "t20", "POST") + "0\r\n\r\n");
    s.exchange("an expectation that is not known", get("/notices/7", "Expect: wonders\r\n", "t21"));
    s.exchange("too large a head", get("/notices/7", "X: " + std::string(20000, 'x') + "\r\n", "t22"),
               "(a head of 20 kB)");
    s.exchange("too large a body", get("/bids", "Content-Length: 2000000\r\n", "t23", "POST"),
               "(a body of 2 MB announced)");
    s.exchange("a path that climbs", get("/notices/../bids", kClose, "t24"));
    s.mode("bids", "lose");
    s.exchange("a write whose answer is lost",
               get("/bids", kClose + "Content-Length: 5\r\n", "t25", "POST") + "offer");
    s.exchange("its try again", get("/bids", kClose + "Content-Length: 5\r\n", "t25", "POST") + "offer");
    s.mode("bids", "garbage");
    s.exchange("a write whose answer is garbage",
               get("/bids", kClose + "Content-Length: 5\r\n", "t26", "POST") + "offer");
    s.mode("bids", "other");
    s.exchange("a write that got another's answer",
               get("/bids", kClose + "Content-Length: 5\r\n", "t27", "POST") + "offer");
    s.mode("bids", "error");
    s.exchange("a server's own error comes through",
               get("/bids", kClose + "Content-Length: 5\r\n", "t28", "POST") + "offer");
    s.mode("bids", "reset");
    s.exchange("a write whose session is reset after it was done",
               get("/bids", kClose + "Content-Length: 5\r\n", "t30", "POST") + "offer");
    s.exchange("its try again", get("/bids", kClose + "Content-Length: 5\r\n", "t30", "POST") + "offer");
    s.mode("bids", "reset_before");
    s.exchange("a write whose session is reset before it was done",
               get("/bids", kClose + "Content-Length: 5\r\n", "t31", "POST") + "offer");
    s.mode("bids", "cut");
    s.exchange("a write whose answer is cut",
               get("/bids", kClose + "Content-Length: 5\r\n", "t32", "POST") + "offer");
    s.mode("bids", "interim");
    s.exchange("an interim answer is passed over",
               get("/bids", kClose + "Content-Length: 5\r\n", "t33", "POST") + "offer");
    s.mode("bids", "well");
    s.exchange("what follows a chunked body names nothing",
               get("/bids", kClose + "Transfer-Encoding: chunked\r\n", "t34", "POST") +
                   "2\r\nab\r\n0\r\nHost: other\r\nMarble-Try: t35\r\nMarble-Customer: small\r\n\r\n");
    s.mode("notices", "body_to_head");
    s.exchange("a body where only the head was asked for",
               get("/notices/1", "", "t38", "HEAD") + get("/notices/2", kClose, "t39"));
    s.mode("notices", "reset");
    s.exchange("a read whose session is reset, at the only server and there again",
               get("/notices/1", kClose, "t40"));
    s.hall.stopping = true;
    s.exchange("a machine that is stopping", get("/notices/7", kClose, "t29"));
    const std::string file = std::string(MS_TEST_DIR) + "/approved/exchanges.txt";
    std::ifstream f(file);
    std::stringstream want;
    want << f.rdbuf();
    if (want.str() != s.said.str()) {
        const bool take = std::getenv("MS_APPROVE") != nullptr;
        std::ofstream(take ? file : file + ".received") << s.said.str();
    }
    BOOST_TEST((want.str() == s.said.str()),
               "differs from the approved transcript: see " << file << ".received");
}
