// MIXED: a server's failure reaches the client with another status than the server gave, and that is no status.
#include "rig.hpp"

namespace {

constexpr int kRequests = 160;
constexpr int kServers = 8;  // of two services; one of them fails part of its requests

const char* const kConfiguration =
    "{\"number\":3,\"routes\":["
    "{\"name\":\"slots\",\"host\":\"visa.example\",\"prefix\":\"/slots/\",\"kind\":\"read\",\"timeout_ms\":500,"
    "\"aim_ms\":200,\"priority\":2,\"service\":\"slotview\",\"tries\":2,\"open\":false},"
    "{\"name\":\"bookings\",\"host\":\"visa.example\",\"prefix\":\"/bookings/\",\"kind\":\"write\",\"timeout_ms\":600,"
    "\"aim_ms\":250,\"priority\":1,\"service\":\"bookdesk\",\"tries\":2,\"open\":false}],"
    "\"services\":[{\"name\":\"slotview\",\"health\":\"/health\",\"most_connections\":130,\"protocol\":\"h1\","
    "\"transportSecurity\":false},{\"name\":\"bookdesk\",\"health\":\"/health\",\"most_connections\":130,"
    "\"protocol\":\"h1\",\"transportSecurity\":false}],"
    "\"limits\":{\"header_bytes\":16384,\"body_bytes\":67108864,\"header_ms\":3000,\"idle_ms\":15000},"
    "\"customers\":[{\"name\":\"yefi830\",\"keys\":[\"xd9dnn2ctnfzs989anu6\"],\"priority\":0,"
    "\"allowance_per_s\":100,\"burst\":100}]}";

}  // namespace

int main(int argc, char** argv) {
    using namespace rig;
    Deployment d(argc > 1 ? argv[1] : "record.txt");
    std::mutex mutex;
    std::map<std::string, int> given;  // by id: the status that a server gave
    // One server of eight fails two requests in five, after they have run: with a status that RFC 8470 registers, or
    // without the trouble with one that RFC 9110 does. Its health answer is good.
    int count = 0;
    const auto sound = [&](const Message& q) {
        Answer a;
        a.body = "the server's bytes";
        std::lock_guard<std::mutex> lock(mutex);
        given[q.get("Attempt-Id")] = a.status;
        return a;
    };
    const auto grey = [&](const Message& q) {
        Answer a = sound(q);
        std::lock_guard<std::mutex> lock(mutex);
        if (count++ % 5 < 2) {
            a.status = troubled() ? 425 : 409;
            a.reason = troubled() ? "Too Early" : "Conflict";
        }
        given[q.get("Attempt-Id")] = a.status;
        return a;
    };
    for (int i = 0; i < kServers; ++i) {
        if (i == 3)
            d.server("bookdesk", grey);
        else
            d.server(i % 2 == 0 ? "slotview" : "bookdesk", sound);
    }
    if (!d.start(kConfiguration)) return kCouldNotRun;

    int mixed = 0, failures = 0, answered = 0, answered_failures = 0;
    for (int i = 0; i < kRequests; ++i) {
        Request q;
        const bool write = i % 2 == 1;
        q.method = write ? "POST" : "GET";
        q.host = "visa.example";
        q.path = write ? "/bookings/2f" : "/slots/2f";
        q.key = "xd9dnn2ctnfzs989anu6";
        q.id = "7be2a35f6800" + std::to_string(1000 + i);
        q.body = write ? std::string(1200, 'b') : "";
        q.deadline_ms = write ? 600 : 500;
        const int fd = dial(d.nodes[i % 3]->visits(), 1);
        if (fd < 0) return kCouldNotRun;
        send_all(fd, q.text());
        std::string rest;
        const Message m = read_message(fd, &rest, now() + q.deadline_ms / 1000.0);
        ::close(fd);
        std::lock_guard<std::mutex> lock(mutex);
        const int from_server = given[q.id];
        const bool sealed = !m.get("Server-Seal").empty();
        answered += m.whole ? 1 : 0;
        failures += from_server >= 400 ? 1 : 0;
        answered_failures += from_server >= 400 && m.whole ? 1 : 0;
        const bool wrong = m.whole && sealed && m.status() != from_server;
        mixed += wrong ? 1 : 0;
        if (from_server >= 400 || wrong)
            d.record.line("client of id %s: the server gave %d, the client gets \"%s\", Server-Seal \"%s\"%s", q.id.c_str(),
                          from_server, m.first.c_str(), m.get("Server-Seal").c_str(), wrong ? " -- MIXED" : "");
    }
    d.record.line("%d of %d requests answered whole, %d failures by servers; MIXED: %d with a server's seal and another "
                  "status than it gave",
                  answered, kRequests, failures, mixed);
    if (mixed > 0) return kBroken;
    return answered_failures > 0 ? kHeld : kCouldNotRun;
}
