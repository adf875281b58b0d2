#define BOOST_TEST_MODULE mime_crowd
#include "mime/crowd.hpp"

#include <signal.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "creed/bundle.hpp"
#include "large_server.hpp"
#include "mime/fleet.hpp"
#include "mime/process_use.hpp"
#include "pith/hash.hpp"
#include "weft/desk.hpp"

// Clients that don't behave, against real processes with little memory (docs/design.md 7.10). What is checked
// does not depend on the machine's speed: the process lives, its memory with all that lies unread or unsent
// in its sockets and its descriptors stay under the limits of its settings, and ordinary requests are
// answered afterwards, while the crowd's connections are still open. Each case is a test of its own for
// ctest.

namespace {

namespace json = boost::json;
using mime::CrowdGroup;
using mime::CrowdScript;

constexpr std::size_t kKiB = 1024, kMiB = 1024 * kKiB;
constexpr std::size_t kMemoryMb = 64, kDescriptors = 400;  // of each process
constexpr std::size_t kBodyLimit = 8 * kMiB, kHeadLimit = 16 * kKiB;
constexpr std::size_t kMembers = 48;
constexpr std::size_t kManyMembers = 300;
constexpr std::uint64_t kWithoutEnd = 1000000000;
constexpr int kQuietMs = 1000;      // without any progress of the crowd
constexpr std::size_t kEnough = 4;  // times its limit: then a process is known to be over it
constexpr int kMostTries = 60;      // of an ordinary caller
constexpr auto kTryAgainIn = std::chrono::milliseconds(250);
constexpr int kTimeoutMs = 30000;  // of the routes; no verdict depends on it

std::string pattern(std::size_t bytes) { return std::string(bytes, 'b'); }

std::string head(const std::string& method, const std::string& path, const std::string& fields) {
    static int number = 0;
    return method + " " + path + " HTTP/1.1\r\nHost: crowd\r\nMarble-Key: key-large\r\nMarble-Try: t" +
           std::to_string(++number) + "-" + mime::kMemberMark +
           "\r\nMarble-Deadline-Ms: " + std::to_string(kTimeoutMs) + "\r\n" + fields + "\r\n";
}

std::string chunk(const std::string& bytes) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

const char kChunked[] = "Transfer-Encoding: chunked\r\n";

std::string length_field(std::size_t bytes) { return "Content-Length: " + std::to_string(bytes) + "\r\n"; }

/// A body with its length, of which the last byte does not come.
CrowdScript body_that_stops_short(const std::string& path, std::size_t bytes) {
    return {{head("POST", path, length_field(bytes)), 1},
            {pattern(kKiB), bytes / kKiB - 1},
            {pattern(kKiB - 1), 1}};
}

constexpr std::size_t kFrame = 12 * kMiB;  // of a frame between nodes

/// What a stream of frames says before one of kFrame bytes.
std::string frame_length() {
    std::string length;
    for (int i = 0; i < 4; ++i) length.push_back(static_cast<char>(kFrame >> (8 * i)));
    return length;
}

unsigned port_of(const std::string& address) {
    return static_cast<unsigned>(std::stoul(address.substr(address.rfind(':') + 1)));
}

/// One control node and one proxy, and a server in this process.
class Site {
  public:
    explicit Site(std::size_t body_limit = kBodyLimit, bool plain_frames = true)
        : fleet_(plan(plain_frames)), server_(ip(), "notices", "i-1") {
        BOOST_REQUIRE(fleet_.prepare().has_value());
        fleet_.start_all();
        fleet_.list_rows(server_.row());
        BOOST_REQUIRE(fleet_.wait_line("k1", {"event=membership", "voting=yes"}));
        change(1, body_limit);
        BOOST_REQUIRE(fleet_.wait_line("p1", {"event=ready"}));
        watch("p1");
        watch("k1");
        ordinary_request_is_answered();
    }
    ~Site() {
        watches_.clear();
        if (std::system(("rm -rf " + fleet_.folder()).c_str()) != 0) return;
    }

    std::string visits() const { return fleet_.visits("p1"); }
    std::string desk(const std::string& node) const { return fleet_.desk(node); }
    std::string weft(const std::string& node) const { return fleet_.weft(node); }

    void change(int number, std::size_t body_limit = kBodyLimit) {
        json::object bundle = json::parse(fleet_.sample_bundle(number, 25)).as_object();
        bundle["limits"] = json::object{{"header_bytes", kHeadLimit}, {"body_bytes", body_limit}};
        for (auto& route : bundle["routes"].as_array()) route.as_object()["timeout_ms"] = kTimeoutMs;
        const std::string file = fleet_.folder() + "/bundle.json";
        std::ofstream(file) << fleet_.sign(json::serialize(bundle));
        int code = 0;
        const std::string said =
            fleet_.run({"helm", "push", file, "--nodes=" + fleet_.desk("k1"), "--timeout_ms=20000"}, &code);
        BOOST_REQUIRE_MESSAGE(code == 0, said);
    }

    /// Lets the crowd send, and keeps its connections open.
    void meets(const std::vector<CrowdGroup>& groups) {
        crowds_.push_back(std::make_unique<mime::Crowd>(groups));
        crowds_.back()->send_until_quiet(kQuietMs, [this] { return any_beyond(); });
        const auto tally = crowds_.back()->tally();
        BOOST_TEST_MESSAGE("sent=" << tally.sent << " received=" << tally.received
                                   << " closed=" << tally.closed << " finished=" << tally.finished << "\n"
                                   << tally.last_received);
    }

    /// The proxy stands still while the crowd comes.
    void meets_standing_still(const std::vector<CrowdGroup>& groups) {
        fleet_.kill("p1", SIGSTOP);
        crowds_.push_back(std::make_unique<mime::Crowd>(groups));
        crowds_.back()->send_until_quiet(kQuietMs);
        fleet_.kill("p1", SIGCONT);
        crowds_.back()->send_until_quiet(kQuietMs, [this] { return any_beyond(); });
    }

    void stays_within_its_limits() {
        for (const auto& watched : watches_) {
            const std::string& name = watched.first;
            BOOST_TEST_MESSAGE(name << " held=" << watched.second.watch->most_held() / kKiB
                                    << "KiB descriptors=" << watched.second.watch->most_descriptors());
            BOOST_TEST(alive(name), name << " has ended");
            BOOST_TEST(watched.second.watch->most_held() <= kMemoryMb * kMiB, name << " bytes held");
            BOOST_TEST(watched.second.watch->most_descriptors() <= kDescriptors, name << " descriptors");
        }
    }

    void ordinary_request_is_answered() {
        BOOST_TEST(answered("POST", "/notices", pattern(2 * kKiB)));
        BOOST_TEST(answered("GET", "/notices/1", {}));
    }

    /// Operators' calls are answered, and a change is taken and comes into force.
    void operators_are_served() {
        BOOST_TEST(called(desk("p1"), "/ready"));
        BOOST_TEST(called(desk("k1"), "/v1/status"));
        change(2);
        BOOST_TEST(fleet_.wait_line("p1", {"event=bundle", "number=2"}));
    }

    /// The body arrives whole at the server.
    void large_body_is_served(std::size_t bytes, bool chunked) {
        weft::http::request<weft::http::string_body> request{weft::http::verb::post, "/notices", 11};
        set_fields(&request);
        request.body() = pattern(bytes);
        if (chunked)
            request.chunked(true);
        else
            request.prepare_payload();
        boost::asio::io_context io;
        boost::beast::tcp_stream stream(io);
        boost::system::error_code ec;
        stream.connect(weft::endpoint(visits()), ec);
        if (!ec) weft::http::write(stream, request, ec);
        weft::Answer answer;
        boost::beast::flat_buffer buffer;
        boost::system::error_code read_ec;
        weft::http::read(stream, buffer, answer, read_ec);
        BOOST_TEST(answer.result_int() == 200u, answer << ec.message());
        BOOST_TEST(answer.body().find("\"bytes\":" + std::to_string(bytes)) != std::string::npos, answer);
    }

  private:
    struct Watched {
        pid_t pid = -1;
        std::unique_ptr<mime::ProcessWatch> watch;
    };

    static std::string make_folder() {
        char folder[] = "/tmp/ms-crowd-XXXXXX";
        return ::mkdtemp(folder);
    }
    std::string ip() const { return plan_ip_; }
    mime::FleetPlan plan(bool plain_frames) {
        mime::FleetPlan plan;
        plan.program = MS_PROGRAM;
        plan.mime = MS_MIME;
        plan.folder = make_folder();
        const auto hash = pith::hash64(plan.folder);
        plan_ip_ = "127." + std::to_string(1 + hash % 250) + "." + std::to_string(1 + (hash >> 8) % 250) +
                   "." + std::to_string(1 + (hash >> 16) % 250);
        plan.ip = plan_ip_;
        plan.keepers = plan.proxies = 1;
        plan.servers = {{"notices", 0}};
        plan.large = plain_frames;
        plan.memory_mb = kMemoryMb;
        plan.descriptors = kDescriptors;
        return plan;
    }

    void watch(const std::string& name) {
        std::set<unsigned> ports{port_of(fleet_.desk(name)), port_of(fleet_.weft(name))};
        if (name == "p1") ports.insert(port_of(visits()));
        const pid_t pid = fleet_.pid(name);
        watches_[name] = {pid, std::make_unique<mime::ProcessWatch>(pid, std::move(ports))};
    }

    // One that has ended, and was not waited for, has no memory any more.
    bool alive(const std::string& name) const {
        return mime::process_use(watches_.at(name).pid, {}).resident > 0;
    }

    bool any_beyond() const {
        for (const auto& watched : watches_)
            if (!alive(watched.first) || watched.second.watch->most_held() > kEnough * kMemoryMb * kMiB)
                return true;
        return false;
    }

    template <class Request>
    void set_fields(Request* request) {
        request->set("Host", "ordinary");
        request->set("Marble-Key", "key-large");
        request->set("Marble-Try", "o" + std::to_string(++tries_));
        request->set("Marble-Deadline-Ms", std::to_string(kTimeoutMs));
    }

    // An ordinary caller comes again, as it is told to.
    bool answered(const std::string& method, const std::string& path, const std::string& body) {
        for (int i = 0; i < kMostTries; ++i) {
            weft::Ask request;
            request.method_string(method);
            request.target(path);
            set_fields(&request);
            request.body() = body;
            const auto answer = weft::call_blocking(visits(), request, kTimeoutMs * pith::kMilli);
            if (answer && answer->result_int() == 200) return true;
            BOOST_TEST_MESSAGE("ordinary: " << (answer ? answer->body() : answer.error().message));
            std::this_thread::sleep_for(kTryAgainIn);
        }
        return false;
    }

    static bool called(const std::string& address, const std::string& path) {
        for (int i = 0; i < kMostTries; ++i) {
            const auto answer =
                weft::call_blocking(address, {weft::http::verb::get, path, 11}, 10 * pith::kSecond);
            if (answer && answer->result_int() == 200) return true;
            std::this_thread::sleep_for(kTryAgainIn);
        }
        return false;
    }

    std::string plan_ip_;
    mime::Fleet fleet_;
    LargeServer server_;
    std::map<std::string, Watched> watches_;
    std::vector<std::unique_ptr<mime::Crowd>> crowds_;
    int tries_ = 0;
};

void check(Site& site) {
    site.ordinary_request_is_answered();
    site.stays_within_its_limits();
}

/// The crowd's connections at the callers' port.
void check_callers(const std::vector<CrowdScript>& scripts, std::size_t members, std::size_t slice = kMiB,
                   bool reads = false) {
    Site site;
    std::vector<CrowdGroup> groups;
    for (const auto& script : scripts) groups.push_back({site.visits(), script, members, slice, reads, 0});
    site.meets(groups);
    check(site);
}

}  // namespace

// ---- what callers send

BOOST_AUTO_TEST_CASE(trailers_without_end) {
    const std::string fields = "X-Trailer: " + pattern(1000) + "\r\n";
    check_callers(
        {{{head("POST", "/notices", kChunked) + chunk("hello") + "0\r\n", 1}, {fields, kWithoutEnd}}}, 8);
}

BOOST_AUTO_TEST_CASE(whole_bodies_stop_short) {
    check_callers({body_that_stops_short("/notices", kBodyLimit)}, kMembers);
}

BOOST_AUTO_TEST_CASE(bodies_piece_by_piece_stop_short) {
    check_callers({body_that_stops_short("/notices", kBodyLimit)}, kMembers, 4 * kKiB);
}

BOOST_AUTO_TEST_CASE(large_chunks_stop_short) {
    check_callers({{{head("POST", "/notices", kChunked), 1}, {chunk(pattern(kMiB)), kBodyLimit / kMiB}}},
                  kMembers);
}

BOOST_AUTO_TEST_CASE(small_chunks_stop_short) {
    check_callers({{{head("POST", "/notices", kChunked), 1}, {chunk("x"), 2 * kMiB}}}, kMembers, 16 * kKiB);
}

BOOST_AUTO_TEST_CASE(whole_bodies_at_once) {
    check_callers(
        {{{head("POST", "/notices", length_field(kBodyLimit)), 1}, {pattern(kKiB), kBodyLimit / kKiB}}},
        kMembers);
}

BOOST_AUTO_TEST_CASE(medium_bodies_of_many_stop_short) {
    check_callers({body_that_stops_short("/notices", 512 * kKiB)}, kManyMembers);
}

BOOST_AUTO_TEST_CASE(chunk_extensions_without_end) {
    check_callers({{{head("POST", "/notices", kChunked) + "5;", 1}, {pattern(kKiB), kWithoutEnd}}}, 8);
}

BOOST_AUTO_TEST_CASE(heads_of_small_fields_stop_short) {
    check_callers({{{"POST /notices HTTP/1.1\r\nHost: h\r\n", 1}, {"a:\r\n", (kHeadLimit - 100) / 4}}},
                  kManyMembers);
}

BOOST_AUTO_TEST_CASE(heads_of_small_fields_before_a_body) {
    const std::string head_begin = head("POST", "/notices", length_field(100));
    check_callers({{{head_begin.substr(0, head_begin.size() - 2), 1},
                    {"a:\r\n", (kHeadLimit - 400) / 4},
                    {"\r\nnot yet", 1}}},
                  kManyMembers);
}

BOOST_AUTO_TEST_CASE(trailers_of_small_fields) {
    check_callers({{{head("POST", "/notices", kChunked) + chunk("hello") + "0\r\n", 1}, {"a:\r\n", 16000}}},
                  kManyMembers);
}

BOOST_AUTO_TEST_CASE(requests_behind_a_slow_one) {
    check_callers({{{head("GET", "/notices/slow", ""), 1}, {head("GET", "/notices/1", ""), kWithoutEnd}}},
                  kManyMembers, 64 * kKiB);
}

BOOST_AUTO_TEST_CASE(connections_without_requests) { check_callers({{{"G", 1}}}, 3 * kDescriptors); }

BOOST_AUTO_TEST_CASE(large_answers_are_not_read) {
    check_callers({{{head("GET", "/notices/large", ""), 1}}}, 128);
}

BOOST_AUTO_TEST_CASE(all_kinds_at_once) {
    const std::string fields = "X-Trailer: " + pattern(1000) + "\r\n";
    check_callers(
        {{{head("POST", "/notices", kChunked) + chunk("hello") + "0\r\n", 1}, {fields, kWithoutEnd}},
         body_that_stops_short("/notices", kBodyLimit),
         {{head("POST", "/notices", kChunked), 1}, {chunk("x"), kMiB}},
         {{"POST /notices HTTP/1.1\r\nHost: h\r\n", 1}, {"a:\r\n", (kHeadLimit - 100) / 4}},
         {{head("GET", "/notices/large", ""), 1}},
         {{head("GET", "/notices/slow", ""), 1}, {head("GET", "/notices/1", ""), kWithoutEnd}}},
        kMembers, 64 * kKiB);
}

BOOST_AUTO_TEST_CASE(connections_to_a_process_that_stands_still) {
    Site site;
    const auto script = body_that_stops_short("/notices", kBodyLimit);
    site.meets_standing_still({{site.visits(), script, 2 * kDescriptors, kMiB, false, 0},
                               {site.desk("p1"), script, 2 * kDescriptors, kMiB, false, 0},
                               {site.weft("p1"), script, 2 * kDescriptors, kMiB, false, 0}});
    check(site);
}

// ---- what a caller inside the limits sends, in calm

BOOST_AUTO_TEST_CASE(one_large_body_is_served) {
    Site site(kMemoryMb * kMiB);
    site.large_body_is_served(60 * kMiB, false);
    site.stays_within_its_limits();
}

BOOST_AUTO_TEST_CASE(one_large_chunked_body_is_served) {
    Site site(kMemoryMb * kMiB);
    site.large_body_is_served(60 * kMiB, true);
    site.stays_within_its_limits();
}

// ---- what servers send

BOOST_AUTO_TEST_CASE(servers_answer_without_end) {
    std::vector<CrowdScript> scripts;
    for (const char* what : {"head", "trailers", "interim", "chunks", "extension"})
        scripts.push_back({{head("GET", std::string("/notices/endless-") + what, ""), 1}});
    check_callers(scripts, 8, kMiB, true);
}

BOOST_AUTO_TEST_CASE(servers_give_large_answers_at_once) {
    check_callers({{{head("GET", "/notices/large", ""), 1}}}, kManyMembers, kMiB, true);
}

BOOST_AUTO_TEST_CASE(servers_do_not_read_bodies) {
    const std::string fields = std::string(LargeServer::kStallField) + ": 1\r\n" + length_field(400 * kKiB);
    check_callers({{{head("POST", "/notices", fields), 1}, {pattern(kKiB), 400}}}, kManyMembers);
}

// ---- at operators' and nodes' ports

BOOST_AUTO_TEST_CASE(operators_bodies_stop_short) {
    Site site;
    const auto script = body_that_stops_short("/v1/bundle", kBodyLimit);
    site.meets({{site.desk("p1"), script, kMembers, kMiB, false, 0},
                {site.desk("k1"), script, kMembers, kMiB, false, 0}});
    site.operators_are_served();
    check(site);
}

BOOST_AUTO_TEST_CASE(operators_bodies_of_small_values) {
    Site site;
    constexpr std::size_t kPairs = 7 * kMiB / 2;
    const CrowdScript script{
        {head("POST", "/v1/bundle", length_field(2 * kPairs + 3)) + "[", 1}, {"0,", kPairs}, {"0]", 1}};
    site.meets({{site.desk("k1"), script, 4, kMiB, true, 0}});
    site.operators_are_served();
    check(site);
}

BOOST_AUTO_TEST_CASE(operators_trailers_without_end) {
    Site site;
    const CrowdScript script{{head("POST", "/v1/bundle", kChunked) + chunk("{}") + "0\r\n", 1},
                             {"X-Trailer: " + pattern(1000) + "\r\n", kWithoutEnd}};
    site.meets({{site.desk("p1"), script, 8, kMiB, false, 0}, {site.desk("k1"), script, 8, kMiB, false, 0}});
    site.operators_are_served();
    check(site);
}

BOOST_AUTO_TEST_CASE(connections_without_calls_at_operators_ports) {
    Site site;
    site.meets({{site.desk("p1"), {{"G", 1}}, 3 * kDescriptors, 1, false, 0},
                {site.desk("k1"), {{"G", 1}}, 3 * kDescriptors, 1, false, 0}});
    site.operators_are_served();
    check(site);
}

BOOST_AUTO_TEST_CASE(frames_stop_short) {
    Site site;
    const CrowdScript script{{frame_length(), 1}, {pattern(kKiB), kFrame / kKiB - 1}};
    site.meets({{site.weft("p1"), script, kMembers, kMiB, false, 0},
                {site.weft("k1"), script, kMembers, kMiB, false, 0}});
    site.operators_are_served();
    check(site);
}

BOOST_AUTO_TEST_CASE(frames_are_only_announced) {
    Site site;
    site.meets({{site.weft("p1"), {{frame_length(), 1}}, kManyMembers, kMiB, false, 0},
                {site.weft("k1"), {{frame_length(), 1}}, kManyMembers, kMiB, false, 0}});
    site.operators_are_served();
    check(site);
}

// The greeting and READY of ZMTP 3.0 (RFC 23), then a long frame of which the end does not come.
BOOST_AUTO_TEST_CASE(zeromq_frames_stop_short) {
    Site site(kBodyLimit, false);
    std::string greeting("\xff\0\0\0\0\0\0\0\x01\x7f\x03\0NULL", 16);
    greeting.resize(64, '\0');
    const std::string ready("\x04\x1a\x05READY\x0bSocket-Type\0\0\0\x04PUSH", 28);
    std::string length(1, '\x02');
    for (int i = 7; i >= 0; --i) length.push_back(static_cast<char>(std::uint64_t{kFrame} >> (8 * i)));
    const CrowdScript script{{greeting + ready + length, 1}, {pattern(kKiB), kFrame / kKiB - 1}};
    site.meets({{site.weft("p1"), script, kMembers, kMiB, true, 0},
                {site.weft("k1"), script, kMembers, kMiB, true, 0}});
    site.operators_are_served();
    check(site);
}
