// A long body of a request that is refused before it was read: what becomes of its bytes (claim.txt).
#include "../common-2/stand_in.hpp"

using namespace stand;

namespace {

constexpr const char* kKey = "key-of-the-desk-0001";
constexpr std::size_t kBody = 16 * 1024 * 1024;  // of 64 MiB that the configuration allows
constexpr int kRate = 4, kBurst = 8;             // of the tenant's quota
constexpr int kClients = 6;                      // that send these
constexpr double kUsual = 2;                     // requests a second that the tenant sends beside its uploads
constexpr double kHot = 7.5, kHotFor = 6.5;      // hot_tenant: times its usual; seconds

std::string configuration(int number) {
    return "{\"number\":" + std::to_string(number) +
           ",\"routes\":[{\"name\":\"r-read\",\"host\":\"slots.example\",\"prefix\":\"/slots/\",\"kind\":\"read\","
           "\"timeout_ms\":5000,\"aim_ms\":400,\"priority\":2,\"service\":\"slotview\",\"tries\":2,\"open\":false},"
           "{\"name\":\"r-write\",\"host\":\"desk.example\",\"prefix\":\"/book/\",\"kind\":\"write\",\"timeout_ms\":5000,"
           "\"aim_ms\":400,\"priority\":1,\"service\":\"bookdesk\",\"tries\":2,\"open\":false},"
           "{\"name\":\"r-open\",\"host\":\"open.example\",\"prefix\":\"/dates/\",\"kind\":\"read\",\"timeout_ms\":5000,"
           "\"aim_ms\":400,\"priority\":2,\"service\":\"slotview\",\"tries\":2,\"open\":true}],"
           "\"services\":[{\"name\":\"slotview\",\"health\":\"/health\",\"most_connections\":130},{\"name\":\"bookdesk\","
           "\"health\":\"/health\",\"most_connections\":130}],"
           "\"limits\":{\"header_bytes\":16384,\"body_bytes\":67108864,\"header_ms\":3000,\"idle_ms\":15000},"
           "\"customers\":[{\"name\":\"desk\",\"keys\":[\"" +
           std::string(kKey) + "\"],\"priority\":0,\"allowance_per_s\":" + std::to_string(kRate) +
           ",\"burst\":" + std::to_string(kBurst) + "}]}";
}

std::string request(const std::string& method, const std::string& host, const std::string& path, const std::string& id,
                    const std::string& more = "") {
    return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + id +
           "\r\nDeadline-Remaining: 5000\r\nApi-Key: " + kKey + "\r\n" + more + "\r\n";
}

}  // namespace

int main(int argc, char** argv) {
    if (argc < 3) return kCouldNotRun;
    const char* t = getenv("TROUBLE");
    const bool trouble = t == nullptr || std::string(t) != "0";
    Record record(std::string(argv[2]) + "/record.txt");
    Fleet fleet(argv[1], record);
    fleet.lay_out(3, 0);

    std::mutex mutex;
    std::set<std::string> sent, run;  // ids
    auto note_sent = [&](const std::string& id) {
        std::lock_guard<std::mutex> lock(mutex);
        sent.insert(id);
    };
    Platform platform;
    std::vector<std::unique_ptr<HttpServer>> servers;
    std::vector<Platform::Entry> listed;
    for (const char* service : {"slotview", "bookdesk"})
        for (int i = 1; i <= 2; ++i) {
            const std::string instance = std::string("i-") + service + std::to_string(i);
            const std::string ip = fleet.net() + (service[0] == 's' ? "20." : "21.") + std::to_string(i);
            servers.push_back(std::make_unique<HttpServer>());
            const bool ok = servers.back()->start(ip, Fleet::kServer, [&, instance](Connection& c, Message& m) {
                if (m.word(1) == "/health")
                    return c.send(answer_text(200, "Server-Id: " + instance + "\r\n", "ok"), now() + 2);
                const std::string id = m.field("Attempt-Id");
                record.line("server %s runs %s %s id=%s tenant=%s body=%zu", instance.c_str(), m.word(0).c_str(),
                            m.word(1).c_str(), id.c_str(), m.field("Tenant-Name").c_str(), m.body.size());
                {
                    std::lock_guard<std::mutex> lock(mutex);
                    run.insert(id);
                }
                pause_s(0.03);
                return c.send(answer_text(200, server_fields(m, instance), "done by " + instance + "\n"), now() + 2);
            });
            if (!ok) return kCouldNotRun;
            listed.push_back({service, ip, "z" + std::to_string(i), instance});
        }
    platform.set(listed);
    if (!platform.start(fleet)) return kCouldNotRun;
    fleet.start_all();
    if (fleet.order(configuration(7), now() + 20) != 200 || !fleet.all_ready(now() + 20)) {
        record.line("the fleet did not come up");
        return kCouldNotRun;
    }
    pause_s(4);  // in touch, and past the first seconds in which a node keeps to its share

    // The usual load of the tenant, or 7.5 times that for 6.5 s (hot_tenant).
    const double begun = now();
    const Node& node = fleet.node(0);
    std::atomic<bool> over{false};
    std::atomic<int> refused{0}, served{0};
    std::atomic<int> reads{0};
    std::vector<std::thread> load;
    for (int k = 0; k < kClients; ++k)
        load.emplace_back([&] {
            Connection c;
            while (!over) {
                const double at = now();
                const bool hot = trouble && at - begun < kHotFor;
                const std::string id = "read" + std::to_string(++reads);
                if (c.is_open() || c.open(node.ip, Fleet::kVisits, at + 1)) {
                    note_sent(id);
                    Message m;
                    if (!c.send(request("GET", "slots.example", "/slots/2f", id), at + 1) ||
                        read_message(c, &m, at + 6) != Read::whole)
                        c.end();
                    else
                        ++(m.status() == 200 ? served : refused);
                    if (m.field("Connection") == "close") c.end();
                }
                pause_s(at + kClients / (hot ? kHot * kUsual : kUsual) - now());
            }
        });
    pause_s(4);

    // A booking desk's upload: its body is a file that holds the text of an HTTP request to the public route, as a trace
    // or an archive of messages does. The head goes first, the body follows.
    const std::string inner =
        "GET /dates/inner HTTP/1.1\r\nHost: open.example\r\nAttempt-Id: id-inside-a-body\r\nDeadline-Remaining: "
        "5000\r\n\r\n";
    std::string body = inner;
    body.resize(kBody, 'x');
    for (int i = 0; i < 3; ++i) {
        Connection c;
        const std::string id = "upload" + std::to_string(i);
        note_sent(id);
        const double until = now() + 5;
        if (!c.open(node.ip, Fleet::kVisits, until)) return kCouldNotRun;
        record.line("client sends POST /book/%d id=%s with a body of %zu bytes", i, id.c_str(), kBody);
        c.send(request("POST", "desk.example", "/book/" + std::to_string(i), id,
                       "Content-Length: " + std::to_string(kBody) + "\r\n"),
               until);
        pause_s(0.02);
        const bool all = c.send(body, until);
        Message m;
        for (int k = 0; read_message(c, &m, now() + 0.4) == Read::whole; ++k)
            record.line("client reads answer %d on that connection: %s id=%s connection=%s", k + 1, m.first.c_str(),
                        m.field("Attempt-Id").c_str(), m.field("Connection").c_str());
        record.line("the body was %s", all ? "sent whole" : "not taken whole");
    }
    over = true;
    for (auto& l : load) l.join();
    record.line("other requests of the tenant: %d served, %d refused", served.load(), refused.load());
    fleet.kill_all();
    int broken = 0;
    for (const auto& id : run)
        if (sent.count(id) == 0) {
            record.line("BROKEN UNASKED: a server ran id=%s, which no client sent as a request", id.c_str());
            ++broken;
        }
    if (!trouble && run.count("upload0") + run.count("upload1") + run.count("upload2") < 3) {
        record.line("an upload was not served without trouble");
        return kCouldNotRun;
    }
    record.line(broken > 0 ? "broken" : "held");
    return broken > 0 ? kBroken : kHeld;
}
