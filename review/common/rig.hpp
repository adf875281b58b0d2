#pragma once
// Stand-ins and process control for the cases of the review: the users' platform, servers, an operator and
// clients, over blocking sockets, one thread a connection. Standard library and POSIX only. They do what the
// users' PROTOCOL page says, in the words of deploy/wire.toml.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

// ---- time, and the record of what was sent, answered and run

inline double now() {
    using namespace std::chrono;
    static const auto start = steady_clock::now();
    return duration<double>(steady_clock::now() - start).count();
}

inline void sleep_s(double seconds) {
    if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

class Record {
  public:
    explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}
    ~Record() {
        if (file_ != nullptr) std::fclose(file_);
    }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        char text[1024];
        va_list args;
        va_start(args, format);
        std::vsnprintf(text, sizeof text, format, args);
        va_end(args);
        std::lock_guard<std::mutex> lock(mutex_);
        std::printf("%8.3f  %s\n", now(), text);
        std::fflush(stdout);
        if (file_ == nullptr) return;
        std::fprintf(file_, "%8.3f  %s\n", now(), text);
        std::fflush(file_);
    }

  private:
    std::FILE* file_;
    std::mutex mutex_;
};

// ---- sockets

struct Address {
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in native(const Address& at) {
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<std::uint16_t>(at.port));
    ::inet_pton(AF_INET, at.ip.c_str(), &a.sin_addr);
    return a;
}

// -1 where nobody listens, or not in time.
inline int dial(const Address& to, double seconds, int segment = 0, int receive_buffer = 0) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (segment > 0) ::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    if (receive_buffer > 0) ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    ::fcntl(fd, F_SETFL, O_NONBLOCK);
    sockaddr_in a = native(to);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0) {
        pollfd p{fd, POLLOUT, 0};
        int error = errno == EINPROGRESS ? 0 : errno;
        socklen_t n = sizeof error;
        if (error == 0 && ::poll(&p, 1, static_cast<int>(seconds * 1000)) == 1)
            ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n);
        else
            error = ETIMEDOUT;
        if (error != 0) {
            ::close(fd);
            return -1;
        }
    }
    ::fcntl(fd, F_SETFL, 0);
    return fd;
}

inline int listen_at(const Address& at) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in a = native(at);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

inline bool port_free(const Address& at) {
    const int tcp = listen_at(at);
    if (tcp < 0) return false;
    const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in a = native(at);
    const bool free = ::bind(udp, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0;
    ::close(udp);
    ::close(tcp);
    return free;
}

inline bool send_all(int fd, const char* data, std::size_t size) {
    while (size > 0) {
        const ssize_t n = ::send(fd, data, size, MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR) continue;
        if (n <= 0) return false;
        data += n;
        size -= static_cast<std::size_t>(n);
    }
    return true;
}
inline bool send_all(int fd, const std::string& text) { return send_all(fd, text.data(), text.size()); }

// Bytes read: 0 at the end, -1 on a reset, -2 where the time is up.
inline ssize_t receive(int fd, char* into, std::size_t most, double until) {
    for (;;) {
        const double left = until - now();
        if (left <= 0) return -2;
        pollfd p{fd, POLLIN, 0};
        const int ready = ::poll(&p, 1, static_cast<int>(left * 1000) + 1);
        if (ready < 0 && errno == EINTR) continue;
        if (ready == 0) return -2;
        const ssize_t n = ::recv(fd, into, most, 0);
        if (n < 0 && errno == EINTR) continue;
        return n < 0 ? -1 : n;
    }
}

// ---- HTTP/1.1, as far as the stand-ins need it

inline std::string lower(std::string s) {
    for (char& c : s) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return s;
}

struct Message {
    std::string first;  // request line or status line
    std::multimap<std::string, std::string> fields;  // names in lower case
    std::string body;
    bool whole = false;
    std::string end;  // how the connection ended where it isn't whole
    std::string get(const std::string& name) const {
        const auto i = fields.find(lower(name));
        return i == fields.end() ? std::string() : i->second;
    }
    // 0 where the status line is none
    int status() const {
        if (first.size() < 12 || first.compare(0, 9, "HTTP/1.1 ") != 0) return 0;
        const int code = std::atoi(first.c_str() + 9);
        return code >= 100 && code <= 599 ? code : 0;
    }
    std::string word(int index) const {
        std::istringstream in(first);
        std::string w;
        for (int i = 0; i <= index; ++i)
            if (!(in >> w)) return {};
        return w;
    }
};

// Reads one message with a length; what follows it stays in `rest`. bytes_per_s > 0 reads no faster than that.
inline Message read_message(int fd, std::string* rest, double until, double bytes_per_s = 0) {
    Message m;
    std::string& b = *rest;
    const double began = now();
    std::size_t taken = 0;
    std::vector<char> piece(bytes_per_s > 0 ? 4096 : 65536);
    auto more = [&]() -> bool {
        if (bytes_per_s > 0) sleep_s(static_cast<double>(taken) / bytes_per_s - (now() - began));
        const ssize_t n = receive(fd, piece.data(), piece.size(), until);
        if (n > 0) {
            b.append(piece.data(), static_cast<std::size_t>(n));
            taken += static_cast<std::size_t>(n);
            return true;
        }
        m.end = n == 0 ? "closed" : n == -1 ? "reset" : "time is up";
        return false;
    };
    std::size_t head;
    while ((head = b.find("\r\n\r\n")) == std::string::npos)
        if (!more()) return m;
    std::istringstream in(b.substr(0, head));
    std::string line;
    std::getline(in, m.first);
    if (!m.first.empty() && m.first.back() == '\r') m.first.pop_back();
    while (std::getline(in, line)) {
        if (!line.empty() && line.back() == '\r') line.pop_back();
        const auto colon = line.find(':');
        if (colon == std::string::npos) continue;
        std::string value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' ') == std::string::npos ? value.size() : value.find_first_not_of(' '));
        m.fields.emplace(lower(line.substr(0, colon)), value);
    }
    b.erase(0, head + 4);
    const std::size_t length = std::strtoull(m.get("content-length").c_str(), nullptr, 10);
    while (b.size() < length)
        if (!more()) {
            m.body = b;
            return m;
        }
    m.body = b.substr(0, length);
    b.erase(0, length);
    m.whole = true;
    return m;
}

// A listener that gives each connection a thread.
class Listener {
  public:
    Listener(const Address& at, std::function<void(int)> serve) : serve_(std::move(serve)) {
        fd_ = listen_at(at);
        if (fd_ < 0) return;
        std::thread([this] {
            for (;;) {
                const int c = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                if (c < 0) {
                    if (errno == EINTR || errno == ECONNABORTED || errno == EMFILE) continue;
                    return;
                }
                int one = 1;
                ::setsockopt(c, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
                std::thread([this, c] {
                    serve_(c);
                    ::close(c);
                }).detach();
            }
        }).detach();
    }
    bool ok() const { return fd_ >= 0; }

  private:
    int fd_ = -1;
    std::function<void(int)> serve_;
};

// ---- a server behind the gateway

struct Answer {
    int status = 200;
    std::string reason = "OK", body;
    double work_s = 0.02;
};

// Answers each request with its Attempt-Id and a Server-Seal; another server's request gets 421 and isn't run.
class Server {
  public:
    Server(Record& record, Address at, std::string service, std::string identifier,
           std::function<Answer(const Message&)> work)
        : at(std::move(at)), service(std::move(service)), identifier(std::move(identifier)), record_(record),
          work_(std::move(work)), listener_(this->at, [this](int fd) { serve(fd); }) {}
    bool ok() const { return listener_.ok(); }
    int runs(const std::string& id) {
        std::lock_guard<std::mutex> lock(mutex_);
        return runs_[id];
    }
    const Address at;
    const std::string service, identifier;

  private:
    void serve(int fd) {
        std::string rest;
        for (;;) {
            const Message q = read_message(fd, &rest, now() + 30);
            if (!q.whole) return;
            const std::string id = q.get("Attempt-Id");
            std::string head;
            Answer a;
            if (q.word(1) == "/health") {
                head = "HTTP/1.1 200 OK\r\nServer-Id: " + identifier + "\r\n";
            } else if (!q.get("Expected-Server").empty() && q.get("Expected-Server") != identifier) {
                head = "HTTP/1.1 421 Misdirected Request\r\nServer-Id: " + identifier + "\r\n";
            } else {
                {
                    std::lock_guard<std::mutex> lock(mutex_);
                    ++runs_[id];
                }
                a = work_(q);
                record_.line("server %s runs %s %s id %s, body %zu bytes", identifier.c_str(), q.word(0).c_str(),
                             q.word(1).c_str(), id.c_str(), q.body.size());
                sleep_s(a.work_s);
                head = "HTTP/1.1 " + std::to_string(a.status) + " " + a.reason + "\r\nAttempt-Id: " + id +
                       "\r\nServer-Seal: seal." + identifier + "." + id + "\r\n";
                record_.line("server %s answers %d to id %s, %zu bytes", identifier.c_str(), a.status, id.c_str(),
                             a.body.size());
            }
            head += "Content-Length: " + std::to_string(a.body.size()) + "\r\n\r\n";
            if (!send_all(fd, head + a.body)) return;
        }
    }
    Record& record_;
    std::function<Answer(const Message&)> work_;
    std::mutex mutex_;
    std::map<std::string, int> runs_;
    Listener listener_;
};

// ---- the platform's list of servers

class Platform {
  public:
    explicit Platform(Address at) : at(std::move(at)), listener_(this->at, [this](int fd) { serve(fd); }) {}
    bool ok() const { return listener_.ok(); }
    void show(const Server& s, const std::string& zone) {
        std::lock_guard<std::mutex> lock(mutex_);
        rows_.push_back("{\"service\":\"" + s.service + "\",\"address\":\"" + s.at.text() + "\",\"locality\":\"" + zone +
                        "\",\"number\":\"v1\",\"slots\":2,\"state\":\"serving\",\"cold_ms\":0,\"instance\":\"" +
                        s.identifier + "\"}");
    }
    const Address at;

  private:
    void serve(int fd) {
        std::string rest;
        for (;;) {
            const Message q = read_message(fd, &rest, now() + 30);
            if (!q.whole) return;
            std::string body = "{\"servers\":[";
            {
                std::lock_guard<std::mutex> lock(mutex_);
                for (std::size_t i = 0; i < rows_.size(); ++i) body += (i > 0 ? "," : "") + rows_[i];
            }
            body += "],\"next\":null}";
            if (!send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                                  std::to_string(body.size()) + "\r\n\r\n" + body))
                return;
        }
    }
    std::mutex mutex_;
    std::vector<std::string> rows_;
    Listener listener_;
};

// ---- a machine of the system: one process, with the command of the deploy file

struct Ports {
    int visits = 0, ready = 0, operators = 0, inner = 0;
};

class Node {
  public:
    Node(Record& record, std::string name, std::string zone, std::string ip, Ports ports, std::string folder)
        : name(std::move(name)), zone(std::move(zone)), ip(std::move(ip)), ports(ports), record_(record),
          folder_(std::move(folder)) {}
    ~Node() { kill_now(); }

    Address visits() const { return {ip, ports.visits}; }
    Address ready_address() const { return {ip, ports.ready}; }
    Address operators() const { return {ip, ports.operators}; }

    void write_settings(const std::string& platform, const std::vector<std::string>& seeds, bool first_start) {
        ::mkdir(folder_.c_str(), 0700);
        ::mkdir((folder_ + "/data").c_str(), 0700);
        std::ofstream f(folder_ + "/settings.yaml");
        f << "node: \"" << name << "\"\nserves: [\"front\", \"control\"]\nip: \"" << ip << "\"\nlocality: \"" << zone
          << "\"\nlisten: {visits: \"" << visits().text() << "\", ready_address: \"" << ready_address().text()
          << "\", operators: \"" << operators().text() << "\"}\ninner_ports: [" << ports.inner << ", "
          << ports.inner + 15 << "]\nseeds: [";
        for (std::size_t i = 0; i < seeds.size(); ++i) f << (i > 0 ? ", " : "") << '"' << seeds[i] << '"';
        f << "]\nfirst_start: " << (first_start ? "true" : "false")
          << "\nlimits: {memoryMb: 220, fileDescriptors: 4100}\ndata: \"" << folder_ << "/data\"\n"
          << "bounds: {drain_ms: 2000, grace_s: 6, config_ms: 2000, retry_ratio: 0.2, retry_window_s: 10, "
             "retry_slack: 62, quota_window_s: 5, quota_over: 0.1, quota_slack: 20}\n"
          << "listing: {address: \"" << platform << "\", allowance_per_s: 44.0, duties: [], lag_ms: 800}\n";
    }
    bool start() {
        const std::string log = folder_ + "/log", settings = folder_ + "/settings.yaml";
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::setenv("MARBLESADDLE_SETTINGS", settings.c_str(), 1);
            ::execl("target/platform/resident", "target/platform/resident", "gateway", static_cast<char*>(nullptr));
            ::_exit(127);
        }
        started_ = now();
        record_.line("%s starts at %s, process %d", name.c_str(), ip.c_str(), static_cast<int>(pid_));
        return pid_ > 0;
    }
    void signal(int number) {
        if (pid_ > 0) ::kill(pid_, number);
    }
    // True once the process has ended; its exit status as of waitpid.
    bool ended(int* status = nullptr) {
        if (pid_ <= 0) return true;
        int s = 0;
        if (::waitpid(pid_, &s, WNOHANG) != pid_) return false;
        pid_ = -1;
        if (status != nullptr) *status = s;
        return true;
    }
    void kill_now() {
        if (pid_ <= 0) return;
        ::kill(pid_, SIGCONT);
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
    // Resident memory in MB.
    double memory_mb() const {
        std::ifstream f("/proc/" + std::to_string(pid_) + "/statm");
        double total = 0, resident = 0;
        f >> total >> resident;
        return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1048576.0;
    }
    pid_t process() const { return pid_; }

    const std::string name, zone, ip;
    const Ports ports;

  private:
    Record& record_;
    std::string folder_;
    pid_t pid_ = -1;
    double started_ = 0;
};

// One call on a connection of its own.
inline Message call(const Address& to, const std::string& method, const std::string& target, const std::string& body,
                    double seconds) {
    const int fd = dial(to, seconds);
    Message none;
    none.end = "no connection";
    if (fd < 0) return none;
    std::string q = method + " " + target + " HTTP/1.1\r\nHost: " + to.text() + "\r\n";
    if (!body.empty())
        q += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    q += "Connection: close\r\n\r\n" + body;
    std::string rest;
    Message m = none;
    if (send_all(fd, q)) m = read_message(fd, &rest, now() + seconds);
    ::close(fd);
    return m;
}

// ---- a small deployment: three machines with a disk, in three zones

struct Deployment {
    Deployment(const std::string& record_path, int machines = 3) : record(record_path) {
        char pattern[] = "/tmp/review-XXXXXX";
        if (::mkdtemp(pattern) == nullptr) return;
        folder = pattern;
        const int net = 20 + static_cast<int>(::getpid() % 200);
        base = "127." + std::to_string(net) + ".";
        for (int tries = 0; tries < 200 && ports.visits == 0; ++tries) {
            const int at = 20000 + (static_cast<int>(::getpid()) * 37 + tries * 101) % 12000;
            bool all = true;
            for (int m = 1; m <= machines && all; ++m)
                for (int p = 0; p < 20 && all; ++p) all = port_free({base + std::to_string(m) + ".13", at + p});
            if (all) ports = {at + 16, at + 17, at + 18, at};
        }
        if (ports.visits == 0) return;
        platform = std::make_unique<Platform>(Address{base + "9.2", ports.operators});
        for (int m = 1; m <= machines && m <= 3; ++m)
            seeds.push_back(base + std::to_string(m) + ".13:" + std::to_string(ports.operators));
        for (int m = 1; m <= machines; ++m) {
            const std::string zone = "z" + std::to_string(m);
            nodes.push_back(std::make_unique<Node>(record, "front-" + zone + "-1", zone, base + std::to_string(m) + ".13",
                                                   ports, folder + "/" + zone));
            nodes.back()->write_settings(platform->at.text(), seeds, true);
        }
        usable = platform->ok();
    }
    ~Deployment() {
        for (auto& n : nodes) n->kill_now();
        if (folder.compare(0, 12, "/tmp/review-") == 0 && std::getenv("KEEP") == nullptr) {
            const std::string remove = "rm -rf " + folder;
            if (std::system(remove.c_str()) != 0) record.line("%s stays", folder.c_str());
        }
    }
    Server& server(const std::string& service, std::function<Answer(const Message&)> work) {
        const int n = static_cast<int>(servers.size()) + 1;
        servers.push_back(std::make_unique<Server>(record, Address{base + "128." + std::to_string(n), ports.visits},
                                                   service, "i-" + std::to_string(n) + "a2c", std::move(work)));
        platform->show(*servers.back(), "z" + std::to_string((n - 1) % 3 + 1));
        usable = usable && servers.back()->ok();
        return *servers.back();
    }
    // Starts all machines, hands the configuration in and waits until each machine takes clients.
    bool start(const std::string& configuration) {
        if (!usable) return false;
        for (auto& n : nodes) n->start();
        if (!push(configuration, 20)) return false;
        for (auto& n : nodes) {
            const double until = now() + 15;
            while (call(n->ready_address(), "GET", "/ready", "", 1).status() != 200) {
                if (now() > until) return false;
                sleep_s(0.1);
            }
        }
        record.line("all machines are ready");
        return true;
    }
    bool push(const std::string& configuration, double seconds) {
        const double until = now() + seconds;
        refused = false;
        for (std::size_t turn = 0; now() < until; ++turn) {
            const Message m =
                call(nodes[turn % nodes.size()]->operators(), "POST", "/v1/bundle", configuration, 2);
            if (m.status() == 200) {
                record.line("the operator's configuration is acknowledged: %s", m.body.substr(0, 100).c_str());
                return true;
            }
            if (m.status() >= 400 && m.status() < 500) {
                record.line("the operator gets %d: %s", m.status(), m.body.substr(0, 200).c_str());
                refused = true;
                return false;
            }
            sleep_s(0.2);
        }
        return false;
    }
    Record record;
    // Once the system has started for the first time.
    void later_settings() {
        for (auto& n : nodes) n->write_settings(platform->at.text(), seeds, false);
    }
    std::string folder, base;
    std::vector<std::string> seeds;
    Ports ports;
    std::unique_ptr<Platform> platform;
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<std::unique_ptr<Node>> nodes;
    bool usable = false;
    bool refused = false;  // the last configuration, with a 4xx
};

// What a client sees of one request on a connection of its own.
struct Request {
    std::string method = "GET", host, path, key, id, body;
    int deadline_ms = 1000;
    std::string text() const {
        std::string q = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + id +
                        "\r\nDeadline-Remaining: " + std::to_string(deadline_ms) + "\r\n";
        if (!key.empty()) q += "Api-Key: " + key + "\r\n";
        if (!body.empty()) q += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        return q + "\r\n" + body;
    }
};

inline bool troubled() {
    const char* t = std::getenv("TROUBLE");
    return t == nullptr || std::string(t) != "0";
}

// Exit codes of a case.
constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

}  // namespace rig
