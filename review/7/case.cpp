// A planned stop of a machine while clients still read a long answer from it (claim.txt).
#include "../common-2/stand_in.hpp"

using namespace stand;

namespace {

constexpr const char* kKey = "key-of-the-desk-0001";
constexpr std::size_t kAnswer = 768 * 1024;         // bytes of a document
constexpr double kClientBytesPerS = 3.6e6 / 8;      // a link of 3.6 Mbit/s
constexpr double kDeadline = 2.5, kGrace = 6;       // seconds
constexpr double kAsk = 1.8;                        // after the SIGTERM, on connections that were open before
constexpr int kClients = 4;                         // of each machine

std::string configuration(int number) {
    return "{\"number\":" + std::to_string(number) +
           ",\"routes\":[{\"name\":\"r-doc\",\"host\":\"docs.example\",\"prefix\":\"/docs/\",\"kind\":\"read\","
           "\"timeout_ms\":2500,\"aim_ms\":600,\"priority\":2,\"service\":\"notices\",\"tries\":2,\"open\":false}],"
           "\"services\":[{\"name\":\"notices\",\"health\":\"/health\",\"most_connections\":150}],"
           "\"limits\":{\"header_bytes\":16384,\"body_bytes\":67108864,\"header_ms\":3000,\"idle_ms\":15000},"
           "\"customers\":[{\"name\":\"desk\",\"keys\":[\"" +
           std::string(kKey) + "\"],\"priority\":0,\"allowance_per_s\":108,\"burst\":108}]}";
}

struct Download {
    std::string node, id;
    std::size_t got = 0;
    int status = 0;
    bool whole = false, right = true;
    double sent = 0, ended = 0;
    const char* end = "";
};

char letter(std::size_t at) { return static_cast<char>('a' + at % 23); }

std::string ask(const std::string& id) {
    return "GET /docs/" + id + " HTTP/1.1\r\nHost: docs.example\r\nAttempt-Id: " + id +
           "\r\nDeadline-Remaining: 2500\r\nApi-Key: " + kKey + "\r\n\r\n";
}

// Reads as fast as a link of that width brings it.
void download(Connection& c, Download* d) {
    d->sent = now();
    const double until = d->sent + kDeadline;
    Message m;
    if (!c.send(ask(d->id), until) || read_head(c, &m, until) != Read::whole) {
        d->end = "no answer";
        d->ended = now();
        return;
    }
    d->status = m.status();
    const double begun = now();
    std::size_t at = 0;
    for (;;) {
        for (char x : c.buffer()) d->right = d->right && x == letter(at++);
        d->got += c.buffer().size();
        c.buffer().clear();
        if (d->got >= m.length) break;
        pause_s(begun + static_cast<double>(d->got) / kClientBytesPerS - now());
        const auto got = c.more(until, 16384);
        if (got == Connection::Got::bytes) continue;
        d->end = got == Connection::Got::end ? "closed" : got == Connection::Got::reset ? "reset" : "deadline";
        break;
    }
    d->ended = now();
    d->whole = m.length > 0 && d->got == m.length;
    if (d->whole) d->end = "whole";
}

}  // namespace

int main(int argc, char** argv) {
    if (argc < 3) return kCouldNotRun;
    const char* t = getenv("TROUBLE");
    const bool trouble = t == nullptr || std::string(t) != "0";
    Record record(std::string(argv[2]) + "/record.txt");
    Fleet fleet(argv[1], record);
    fleet.lay_out(3, 0, kGrace);

    std::string document(kAnswer, ' ');
    for (std::size_t i = 0; i < document.size(); ++i) document[i] = letter(i);
    Platform platform;
    std::vector<std::unique_ptr<HttpServer>> servers;
    std::vector<Platform::Entry> listed;
    std::mutex mutex;
    std::map<std::string, double> answered;  // by id: when a server had written its whole answer
    for (int i = 1; i <= 6; ++i) {
        const std::string instance = "i-notices" + std::to_string(i), ip = fleet.net() + "20." + std::to_string(i);
        servers.push_back(std::make_unique<HttpServer>());
        const bool ok = servers.back()->start(ip, Fleet::kServer, [&, instance](Connection& c, Message& m) {
            if (m.word(1) == "/health") return c.send(answer_text(200, "Server-Id: " + instance + "\r\n", "ok"), now() + 2);
            const std::string id = m.field("Attempt-Id");
            record.line("server %s runs %s %s", instance.c_str(), m.word(0).c_str(), m.word(1).c_str());
            pause_s(0.06);
            const bool sent = c.send(answer_text(200, server_fields(m, instance), document), now() + 5);
            std::lock_guard<std::mutex> lock(mutex);
            if (sent) answered[id] = now();
            return sent;
        });
        if (!ok) return kCouldNotRun;
        listed.push_back({"notices", ip, "z" + std::to_string(i % 3 + 1), instance});
    }
    platform.set(listed);
    if (!platform.start(fleet)) return kCouldNotRun;
    fleet.start_all();
    if (fleet.order(configuration(7), now() + 20) != 200 || !fleet.all_ready(now() + 20)) {
        record.line("the fleet did not come up");
        return kCouldNotRun;
    }
    pause_s(6);  // all calm for longer than the contact window

    std::vector<Download> downloads;
    std::vector<std::unique_ptr<Connection>> connections;
    for (const auto& node : fleet.nodes())
        for (int i = 0; i < kClients; ++i) {
            Download d;
            d.node = node.name;
            d.id = "doc-" + node.name + "-" + std::to_string(i);
            downloads.push_back(d);
            connections.push_back(std::make_unique<Connection>());
            if (!connections.back()->open(node.ip, Fleet::kVisits, now() + 1, 32 * 1024)) return kCouldNotRun;
        }
    Node& stopped = fleet.node(0);
    const double signal = now();
    if (trouble) fleet.signal(stopped, SIGTERM);
    pause_s(kAsk);
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < downloads.size(); ++i)
        clients.emplace_back([&, i] { download(*connections[i], &downloads[i]); });
    if (trouble) {
        int status = 0;
        if (fleet.ended(stopped, signal + kGrace, &status))
            record.line("%s ended %.2f s after SIGTERM, exit code %d", stopped.name.c_str(), now() - signal,
                        WIFEXITED(status) ? WEXITSTATUS(status) : -1);
        else
            fleet.signal(stopped, SIGKILL);
    }
    for (auto& c : clients) c.join();
    int broken = 0;
    for (const auto& d : downloads) {
        const auto a = answered.find(d.id);
        record.line("client of %s: GET /docs/%s sent %.2f s after the SIGTERM; status %d, %zu of %zu bytes, %s after %.2f "
                    "s; its server %s",
                    d.node.c_str(), d.id.c_str(), d.sent - signal, d.status, d.got, kAnswer, d.end, d.ended - d.sent,
                    a == answered.end() ? "was not done" : "had answered whole");
        if (!d.right) record.line("wrong bytes for %s", d.id.c_str());
        const bool refused = d.status >= 400;
        if (d.whole || refused || std::string(d.end) == "deadline") continue;
        if (a == answered.end()) continue;  // the server did not get to its end: not judged here
        record.line("BROKEN LOST: %s was read whole, run and answered by its server; the connection ended without a complete "
                    "answer %.2f s after SIGTERM",
                    d.id.c_str(), d.ended - signal);
        ++broken;
    }
    fleet.kill_all();
    record.line(broken > 0 ? "broken" : "held");
    return broken > 0 ? kBroken : kHeld;
}
