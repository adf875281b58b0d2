#pragma once
// What the cases of this review share: loopback addresses, the gateway's processes, and stand-ins for the platform, the
// servers, the operator and the clients. Plain POSIX sockets and threads; times are seconds of the steady clock.
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
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace stand {

inline double now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
inline void pause_s(double s) {
    if (s > 0) std::this_thread::sleep_for(std::chrono::duration<double>(s));
}

/// Exit codes of a case.
constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

/// record.txt: what was sent, answered and run.
class Record {
  public:
    explicit Record(const std::string& path) : out_(path), begun_(now()) {}
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        char text[1024];
        va_list list;
        va_start(list, format);
        vsnprintf(text, sizeof text, format, list);
        va_end(list);
        char at[32];
        snprintf(at, sizeof at, "%8.3f  ", now() - begun_);
        std::lock_guard<std::mutex> lock(mutex_);
        out_ << at << text << std::endl;
    }

  private:
    std::mutex mutex_;
    std::ofstream out_;
    double begun_;
};

// ---- sockets

inline sockaddr_in address_of(const std::string& ip, int port) {
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
    return a;
}

inline int listen_on(const std::string& ip, int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const auto a = address_of(ip, port);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0 || listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/// One TCP connection with a buffer for what was read beyond a message.
class Connection {
  public:
    Connection() = default;
    explicit Connection(int fd) : fd_(fd) {}
    ~Connection() { end(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    /// `receive_buffer`: bytes the system may hold for us; 0: as the system has it.
    bool open(const std::string& ip, int port, double until, int receive_buffer = 0) {
        end();
        buffer_.clear();
        fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        if (receive_buffer > 0) setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        const auto a = address_of(ip, port);
        if (connect(fd_, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) {
            if (errno != EINPROGRESS || !wait_for(POLLOUT, until)) return false;
            int error = 0;
            socklen_t size = sizeof error;
            getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
            if (error != 0) return false;
        }
        const int one = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        return true;
    }
    void end() {
        if (fd_ >= 0) close(fd_);
        fd_ = -1;
    }
    /// The peer is told by a reset.
    void reset() {
        const linger off{1, 0};
        if (fd_ >= 0) setsockopt(fd_, SOL_SOCKET, SO_LINGER, &off, sizeof off);
        end();
    }
    bool is_open() const { return fd_ >= 0; }
    bool wait_for(short what, double until) const {
        for (;;) {
            const double left = until - now();
            if (left <= 0) return false;
            pollfd p{fd_, what, 0};
            const int n = poll(&p, 1, static_cast<int>(left * 1000) + 1);
            if (n > 0) return true;
            if (n < 0 && errno != EINTR) return false;
        }
    }
    bool send(const char* data, std::size_t size, double until) {
        std::size_t done = 0;
        while (done < size) {
            const auto n = ::send(fd_, data + done, size - done, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (n > 0) {
                done += static_cast<std::size_t>(n);
            } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
                if (!wait_for(POLLOUT, until)) return false;
            } else if (errno != EINTR) {
                return false;
            }
        }
        return true;
    }
    bool send(const std::string& s, double until) { return send(s.data(), s.size(), until); }
    enum class Got { bytes, end, reset, late };
    Got more(double until, std::size_t most = 65536) {
        if (!wait_for(POLLIN, until)) return Got::late;
        std::string piece(most, '\0');
        const auto n = recv(fd_, &piece[0], most, MSG_DONTWAIT);
        if (n > 0) {
            buffer_.append(piece, 0, static_cast<std::size_t>(n));
            return Got::bytes;
        }
        if (n == 0) return Got::end;
        return errno == EAGAIN || errno == EINTR ? more(until, most) : Got::reset;
    }
    std::string& buffer() { return buffer_; }

  private:
    int fd_ = -1;
    std::string buffer_;
};

// ---- HTTP

inline std::string lower(std::string s) {
    for (char& c : s) c = static_cast<char>(tolower(static_cast<unsigned char>(c)));
    return s;
}

struct Message {
    std::string first;                          // the first line
    std::map<std::string, std::string> fields;  // names in lower case
    std::string body;
    std::size_t length = 0;
    bool chunked = false;
    std::string word(int n) const {
        std::istringstream in(first);
        std::string w;
        for (int i = 0; i <= n; ++i) w.clear(), in >> w;
        return w;
    }
    std::string field(const std::string& name) const {
        const auto i = fields.find(lower(name));
        return i == fields.end() ? std::string() : i->second;
    }
    int status() const { return atoi(word(1).c_str()); }
};

enum class Read { whole, end, cut, late };

/// The head of a message; its body stays unread.
inline Read read_head(Connection& c, Message* m, double until) {
    std::size_t end;
    while ((end = c.buffer().find("\r\n\r\n")) == std::string::npos) {
        const auto got = c.more(until);
        if (got == Connection::Got::late) return Read::late;
        if (got != Connection::Got::bytes) return c.buffer().empty() ? Read::end : Read::cut;
    }
    *m = Message{};
    std::istringstream in(c.buffer().substr(0, end + 2));
    c.buffer().erase(0, end + 4);
    std::string line;
    std::getline(in, m->first);
    while (!m->first.empty() && m->first.back() == '\r') m->first.pop_back();
    while (std::getline(in, line)) {
        while (!line.empty() && line.back() == '\r') line.pop_back();
        const auto colon = line.find(':');
        if (colon == std::string::npos) continue;
        const auto from = line.find_first_not_of(" \t", colon + 1);
        m->fields[lower(line.substr(0, colon))] = from == std::string::npos ? "" : line.substr(from);
    }
    m->length = static_cast<std::size_t>(atoll(m->field("Content-Length").c_str()));
    m->chunked = lower(m->field("Transfer-Encoding")) == "chunked";
    return Read::whole;
}

inline Read read_body(Connection& c, Message* m, double until) {
    auto need = [&](std::size_t size) {
        while (c.buffer().size() < size) {
            const auto got = c.more(until, 1 << 18);
            if (got == Connection::Got::late) return Read::late;
            if (got != Connection::Got::bytes) return Read::cut;
        }
        return Read::whole;
    };
    if (!m->chunked) {
        const Read r = need(m->length);
        if (r != Read::whole) return r;
        m->body = c.buffer().substr(0, m->length);
        c.buffer().erase(0, m->length);
        return r;
    }
    for (;;) {
        std::size_t end;
        while ((end = c.buffer().find("\r\n")) == std::string::npos)
            if (need(c.buffer().size() + 1) != Read::whole) return Read::cut;
        const std::size_t size = strtoul(c.buffer().c_str(), nullptr, 16);
        if (need(end + 2 + size + 2) != Read::whole) return Read::cut;
        m->body += c.buffer().substr(end + 2, size);
        c.buffer().erase(0, end + 2 + size + 2);
        if (size == 0) return Read::whole;
    }
}

inline Read read_message(Connection& c, Message* m, double until) {
    const Read r = read_head(c, m, until);
    return r == Read::whole ? read_body(c, m, until) : r;
}

inline std::string answer_text(int status, const std::string& fields, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields + "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Serves each connection on a thread of its own until `serve` gives false.
class HttpServer {
  public:
    static constexpr double kBodyIn = 10;  // seconds; a request is read whole before it is served
    using Serve = std::function<bool(Connection&, Message&)>;  // the body is read already
    ~HttpServer() { stop(); }
    bool start(const std::string& ip, int port, Serve serve) {
        fd_ = listen_on(ip, port);
        if (fd_ < 0) return false;
        serve_ = std::move(serve);
        thread_ = std::thread([this] {
            while (!ended_) {
                pollfd p{fd_, POLLIN, 0};
                if (poll(&p, 1, 50) <= 0) continue;
                const int s = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
                if (s < 0) continue;
                const int one = 1;
                setsockopt(s, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
                ++open_;
                std::thread([this, s] {
                    {
                        Connection c(s);
                        Message m;
                        for (;;) {
                            Read r = read_head(c, &m, now() + 0.2);
                            if (r == Read::late && !ended_) continue;
                            if (r == Read::whole) r = read_body(c, &m, now() + kBodyIn);
                            if (r != Read::whole || ended_ || !serve_(c, m)) break;
                        }
                    }
                    --open_;
                }).detach();
            }
        });
        return true;
    }
    void stop() {
        if (ended_.exchange(true)) return;
        if (thread_.joinable()) thread_.join();
        if (fd_ >= 0) close(fd_);
        for (int i = 0; i < 200 && open_ > 0; ++i) pause_s(0.05);
    }

  private:
    int fd_ = -1;
    Serve serve_;
    std::thread thread_;
    std::atomic<bool> ended_{false};
    std::atomic<int> open_{0};
};

// ---- the fleet

struct Node {
    std::string name, ip, zone, folder, settings;
    bool disk = true;
    pid_t pid = -1;
};

/// The gateway's processes, by the command of the deploy file, each on an address of its own.
class Fleet {
  public:
    static constexpr int kVisits = 8388, kReady = 8384, kOperators = 8381, kInner = 7560, kListing = 8382,
                         kServer = 8080;
    Fleet(std::string root, Record& record) : root_(std::move(root)), record_(record) {
        char name[] = "/tmp/review-XXXXXX";
        if (mkdtemp(name) != nullptr) folder_ = name;
        std::mt19937 draw(static_cast<unsigned>(getpid()) * 7919U + static_cast<unsigned>(time(nullptr)));
        for (int i = 0; i < 50; ++i) {
            net_ = "127." + std::to_string(64 + draw() % 160) + ".";
            if (free_address(net_ + "1.13", kVisits) && free_address(net_ + "9.2", kListing)) break;
        }
    }
    ~Fleet() {
        kill_all();
        if (!folder_.empty() && system(("rm -rf '" + folder_ + "'").c_str()) != 0) return;
    }
    const std::string& net() const { return net_; }
    std::string listing_ip() const { return net_ + "9.2"; }
    std::vector<Node>& nodes() { return nodes_; }
    Node& node(std::size_t i) { return nodes_[i]; }

    /// `disks` nodes with a disk, one a zone, then `others` without one.
    void lay_out(std::size_t disks, std::size_t others, double timeout_grace = 6) {
        grace_ = timeout_grace;
        for (std::size_t i = 0; i < disks + others; ++i) {
            Node n;
            const std::size_t zone = i % 3 + 1;
            n.zone = "z" + std::to_string(zone);
            n.name = "front-" + n.zone + "-" + std::to_string(i / 3 + 1);
            n.ip = net_ + std::to_string(zone) + "." + std::to_string(13 + i / 3);
            n.disk = i < disks;
            n.folder = folder_ + "/" + n.name;
            n.settings = folder_ + "/" + n.name + ".yaml";
            mkdir(n.folder.c_str(), 0700);
            nodes_.push_back(n);
        }
        for (auto& n : nodes_) write_settings(n, true);
    }
    void write_settings(const Node& n, bool first_start) const {
        std::string seeds;
        for (std::size_t i = 0; i < 3 && i < nodes_.size(); ++i)
            seeds += (i == 0 ? "\"" : ", \"") + nodes_[i].ip + ":" + std::to_string(kOperators) + "\"";
        std::ofstream o(n.settings);
        o << "node: \"" << n.name << "\"\nserves: [\"front\", \"control\"]\nip: \"" << n.ip << "\"\nlocality: \""
          << n.zone << "\"\nlisten: {visits: \"" << n.ip << ":" << kVisits << "\", ready_address: \"" << n.ip << ":"
          << kReady << "\", operators: \"" << n.ip << ":" << kOperators << "\"}\ninner_ports: [" << kInner << ", "
          << kInner + 15 << "]\nseeds: [" << seeds << "]\nfirst_start: " << (first_start ? "true" : "false")
          << "\nlimits: {memoryMb: 220, fileDescriptors: 4100}\n";
        if (n.disk) o << "data: \"" << n.folder << "\"\n";
        o << "bounds: {drain_ms: 2000, grace_s: " << grace_
          << ", config_ms: 2000, retry_ratio: 0.2, retry_window_s: 10, retry_slack: 62, quota_window_s: 5, "
             "quota_over: 0.1, quota_slack: 20}\n"
          << "listing: {address: \"" << listing_ip() << ":" << kListing
          << "\", allowance_per_s: 44.0, duties: [], lag_ms: 800}\n";
    }
    bool start(Node& n) {
        const std::string program = root_ + "/target/platform/resident";
        const std::string log = folder_ + "/" + n.name + ".log";
        const pid_t pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the case, however that ends
            const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(fd, 1);
            dup2(fd, 2);
            setenv("MARBLESADDLE_SETTINGS", n.settings.c_str(), 1);
            if (chdir(root_.c_str()) != 0) _exit(127);
            execl(program.c_str(), "resident", "gateway", static_cast<char*>(nullptr));
            _exit(127);
        }
        n.pid = pid;
        record_.line("start %s on %s", n.name.c_str(), n.ip.c_str());
        return pid > 0;
    }
    void start_all() {
        for (auto& n : nodes_) start(n);
    }
    void signal(const Node& n, int number) const {
        record_.line("signal %d to %s", number, n.name.c_str());
        if (n.pid > 0) kill(n.pid, number);
    }
    /// Waits for its end; false: it runs still.
    bool ended(Node& n, double until, int* status = nullptr) {
        int s = 0;
        while (n.pid > 0) {
            if (waitpid(n.pid, &s, WNOHANG) == n.pid) {
                n.pid = -1;
                if (status != nullptr) *status = s;
                return true;
            }
            if (now() >= until) return false;
            pause_s(0.01);
        }
        return true;
    }
    void kill_all() {
        for (auto& n : nodes_) {
            if (n.pid <= 0) continue;
            kill(n.pid, SIGCONT);
            kill(n.pid, SIGKILL);
            waitpid(n.pid, nullptr, 0);
            n.pid = -1;
        }
    }
    std::string log(const Node& n) const {
        std::ifstream in(folder_ + "/" + n.name + ".log");
        std::ostringstream o;
        o << in.rdbuf();
        return o.str();
    }
    static int call(const std::string& ip, int port, const std::string& text, double until, std::string* body = nullptr,
                    std::string* location = nullptr) {
        Connection c;
        Message m;
        if (!c.open(ip, port, until) || !c.send(text, until) || read_message(c, &m, until) != Read::whole) return 0;
        if (body != nullptr) *body = m.body;
        if (location != nullptr) *location = m.field("Location");
        return m.status();
    }
    bool ready(const Node& n) const {
        return call(n.ip, kReady, "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", now() + 1) == 200;
    }
    bool all_ready(double until) const {
        for (;;) {
            bool all = true;
            for (const auto& n : nodes_) all = all && ready(n);
            if (all || now() >= until) return all;
            pause_s(0.1);
        }
    }
    /// The operator sends a configuration to nodes in turn until one acknowledges it. The last status.
    int order(const std::string& text, double until, std::size_t first = 0) {
        int status = 0;
        for (std::size_t i = first; now() < until; ++i) {
            const Node& n = nodes_[i % nodes_.size()];
            if (!n.disk || n.pid <= 0) continue;
            status = call(n.ip, kOperators,
                          "POST /v1/bundle HTTP/1.1\r\nHost: control\r\nConnection: close\r\nContent-Type: "
                          "application/json\r\nContent-Length: " +
                              std::to_string(text.size()) + "\r\n\r\n" + text,
                          now() + 1);
            record_.line("order to %s: %d", n.name.c_str(), status);
            if (status >= 200 && status < 500 && status != 408 && status != 429) return status;
            pause_s(0.2);
        }
        return status;
    }

  private:
    static bool free_address(const std::string& ip, int port) {
        const int fd = listen_on(ip, port);
        if (fd >= 0) close(fd);
        return fd >= 0;
    }
    std::string root_, folder_, net_;
    Record& record_;
    std::vector<Node> nodes_;
    double grace_ = 6;
};

/// The platform's list, in the words of `fleetbench wire`.
class Platform {
  public:
    struct Entry {
        std::string service, ip, zone, instance, state = "serving";
    };
    bool start(const Fleet& fleet) {
        return http_.start(fleet.listing_ip(), Fleet::kListing, [this](Connection& c, Message& m) {
            if (m.word(1).compare(0, 8, "/servers") != 0) return c.send(answer_text(404, "", ""), now() + 2);
            return c.send(answer_text(200, "Content-Type: application/json\r\n", text()), now() + 2);
        });
    }
    void stop() { http_.stop(); }
    void set(std::vector<Entry> entries) {
        std::lock_guard<std::mutex> lock(mutex_);
        entries_ = std::move(entries);
    }

  private:
    std::string text() {
        std::lock_guard<std::mutex> lock(mutex_);
        std::string o = "{\"servers\":[";
        for (const auto& e : entries_)
            o += std::string(&e == &entries_[0] ? "" : ",") + "{\"service\":\"" + e.service + "\",\"address\":\"" +
                 e.ip + ":" + std::to_string(Fleet::kServer) + "\",\"locality\":\"" + e.zone +
                 "\",\"number\":\"v1\",\"slots\":2,\"state\":\"" + e.state + "\",\"cold_ms\":0,\"instance\":\"" +
                 e.instance + "\"}";
        return o + "],\"next\":null}";
    }
    HttpServer http_;
    std::mutex mutex_;
    std::vector<Entry> entries_;
};

/// A sound server's seal and echo, as fields.
inline std::string server_fields(const Message& request, const std::string& instance) {
    return "Attempt-Id: " + request.field("Attempt-Id") + "\r\nServer-Seal: seal-" + instance + "-" +
           request.field("Attempt-Id") + "\r\n";
}

}  // namespace stand
