#include "mime/fleet.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <cstring>
#include <fstream>

#include "creed/bundle.hpp"
#include "pith/hash.hpp"
#include "pith/time.hpp"
#include "weft/desk.hpp"

extern char** environ;

namespace mime {

namespace json = boost::json;
using Lock = std::unique_lock<std::mutex>;

namespace {

void put(const std::string& path, const std::string& text) {
    const mode_t old = ::umask(077);
    std::ofstream(path, std::ios::binary | std::ios::trunc) << text;
    ::umask(old);
}

}  // namespace

Fleet::Fleet(FleetPlan p) : p_(std::move(p)) {}

Fleet::~Fleet() {
    {
        Lock l(m_);
        end_ = true;
        for (auto& c : child_)
            if (c.second.pid > 0) {
                ::kill(c.second.pid, SIGKILL);
                ::kill(c.second.pid, SIGCONT);
            }
    }
    if (wake_[1] >= 0 && ::write(wake_[1], "x", 1) < 0) return;
    if (reader_.joinable()) reader_.join();
    for (auto& c : child_) {
        if (c.second.pid > 0) ::waitpid(c.second.pid, nullptr, 0);
        if (c.second.fd >= 0) ::close(c.second.fd);
    }
    for (int f : wake_)
        if (f >= 0) ::close(f);
}

// The kernel may give a port that was let go twice; each of ours is taken once. The fleet's address in the
// loopback net is its own, so nobody else takes one in between.
std::string Fleet::free_address() {
    const std::string& ip = p_.ip;
    for (;;) {
        const int s = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in a{};
        a.sin_family = AF_INET;
        inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
        ::bind(s, reinterpret_cast<sockaddr*>(&a), sizeof a);
        socklen_t n = sizeof a;
        ::getsockname(s, reinterpret_cast<sockaddr*>(&a), &n);
        ::close(s);
        const std::string at = ip + ":" + std::to_string(ntohs(a.sin_port));
        if (used_.insert(at).second) return at;
    }
}

pith::Result<bool> Fleet::prepare() {
    pith::crypto_start();
    if (::mkdir(p_.folder.c_str(), 0700) != 0 && errno != EEXIST)
        return pith::fail(pith::Kind::settings_wrong,
                          "can't make " + p_.folder + ": " + std::strerror(errno) + ": name another folder");
    put(p_.folder + "/secret",
        std::string(64, 'a').replace(0, 32, pith::digest_hex(p_.folder).substr(0, 32)) + "\n");
    creed::keygen(&public_key_, &secret_key_);
    put(p_.folder + "/signer.key", secret_key_ + "\n");
    platform_ = free_address();
    at_["platform"] = {"platform", "", "", platform_, "", "", ""};
    const auto& z = p_.localities;
    for (int i = 1; i <= p_.keepers; ++i)
        at_["k" + std::to_string(i)] = {
            "keeper", z[static_cast<std::size_t>(i - 1) % z.size()], free_address(), "", free_address(), "",
            ""};
    for (int i = 1; i <= p_.proxies; ++i)
        at_["p" + std::to_string(i)] = {"proxy",
                                        z[static_cast<std::size_t>(i - 1) % z.size()],
                                        free_address(),
                                        free_address(),
                                        free_address(),
                                        "",
                                        ""};
    std::size_t turn = 0;
    for (const auto& s : p_.servers)
        for (int i = 1; i <= s.second; ++i) {
            const std::string n = s.first + "-" + std::to_string(i);
            at_[n] = {"server", z[turn++ % z.size()], "", free_address(), "", s.first, n + "-a"};
        }
    for (const auto& a : at_)
        if (a.second.role == "keeper" || a.second.role == "proxy")
            put(settings_file(a.first), settings(a.first));
    if (::pipe2(wake_, O_CLOEXEC) != 0)
        return pith::fail(pith::Kind::settings_wrong, "can't make a pipe: raise the limit of open files");
    reader_ = std::thread([this] { read_loop(); });
    return true;
}

std::string Fleet::settings(const std::string& name) const {
    const At& a = at_.at(name);
    json::object o;
    o["fleet"] = "demo";
    o["name"] = name;
    o["locality"] = a.locality;
    o["weft"] = a.weft;
    o["operator_address"] = a.desk;
    if (a.role == "proxy") {
        o["visits"] = a.visits;
        o["platform"] = platform_;
    } else {
        o["data"] = data_folder(name);
        o["signers"] = json::array{public_key_};
    }
    json::array seeds, keepers;
    for (const auto& k : at_)
        if (k.second.role == "keeper") {
            seeds.emplace_back(k.second.weft);
            keepers.push_back(json::object{{"name", k.first}, {"address", k.second.weft}});
        }
    o["seeds"] = seeds;
    o["keepers"] = keepers;
    o["secret_file"] = p_.folder + "/secret";
    o["log_level"] = p_.log_level;
    if (p_.memory_mb > 0) o["memory_mb"] = p_.memory_mb;
    if (p_.descriptors > 0) o["descriptors"] = p_.descriptors;
    if (p_.large) {
        o["frames"] = "plain";
        o["bounds"] = json::object{{"quota_slack", 20}, {"retry_slack", 200}};
    }
    return json::serialize(o) + "\n";
}

pid_t Fleet::spawn(const std::vector<std::string>& argv, int* err_fd) {
    int p[2];
    if (::pipe2(p, O_CLOEXEC) != 0) return -1;
    posix_spawn_file_actions_t fa;
    posix_spawn_file_actions_init(&fa);
    posix_spawn_file_actions_adddup2(&fa, p[1], 2);
    posix_spawn_file_actions_adddup2(&fa, p[1], 1);
    // Sockets of callers and servers in this process would stay open in the child after they are closed here.
    posix_spawn_file_actions_addclosefrom_np(&fa, 3);
    std::vector<char*> v;
    for (const auto& a : argv) v.push_back(const_cast<char*>(a.c_str()));
    v.push_back(nullptr);
    pid_t pid = -1;
    if (::posix_spawn(&pid, argv[0].c_str(), &fa, nullptr, v.data(), environ) != 0) pid = -1;
    posix_spawn_file_actions_destroy(&fa);
    ::close(p[1]);
    *err_fd = p[0];
    return pid;
}

void Fleet::start(const std::string& name) {
    const At& a = at_.at(name);
    std::vector<std::string> v;
    if (a.role == "platform")
        v = {p_.mime, "platform", "--listen=" + a.visits};
    else if (a.role == "server")
        v = {p_.mime,
             "server",
             "--listen=" + a.visits,
             "--service=" + a.service,
             "--instance=" + a.instance,
             "--work_ms=" + std::to_string(p_.work_ms)};
    else
        v = {p_.program, a.role, "--settings=" + settings_file(name)};
    int fd = -1;
    const pid_t pid = spawn(v, &fd);
    Lock l(m_);
    Child& c = child_[name];
    if (c.fd >= 0) ::close(c.fd);
    c.pid = pid;
    c.fd = fd;
    c.code = -1;
    c.part.clear();
    if (::write(wake_[1], "x", 1) < 0) return;
}

void Fleet::start_all() {
    for (const auto& a : at_)
        if (a.second.role == "platform" || a.second.role == "server") start(a.first);
    for (const auto& a : at_)
        if (a.second.role == "platform" || a.second.role == "server") wait_line(a.first, {"event=listening"});
    list_servers(names("server"));
    for (const auto& a : at_)
        if (a.second.role == "keeper" || a.second.role == "proxy") start(a.first);
}

void Fleet::add_keeper(const std::string& name, const std::string& locality) {
    at_[name] = {"keeper", locality, free_address(), "", free_address(), "", ""};
    put(settings_file(name), settings(name));
}

// The hard limit stays as it was, so that the soft one may be raised again.
void Fleet::limit_file_size(const std::string& name, std::uint64_t bytes) {
    Lock l(m_);
    const pid_t pid = child_[name].pid;
    rlimit limit{};
    if (pid <= 0 || ::prlimit(pid, RLIMIT_FSIZE, nullptr, &limit) != 0) return;
    limit.rlim_cur = std::min<rlim_t>(bytes, limit.rlim_max);
    ::prlimit(pid, RLIMIT_FSIZE, &limit, nullptr);
}

void Fleet::fill_disk(const std::string& name) { limit_file_size(name, 0); }

void Fleet::free_disk(const std::string& name) { limit_file_size(name, RLIM_INFINITY); }

void Fleet::move(const std::string& name) {
    At& a = at_.at(name);
    a.weft = free_address();
    a.desk = free_address();
    put(settings_file(name), settings(name));
}

void Fleet::kill(const std::string& name, int signal) {
    Lock l(m_);
    auto i = child_.find(name);
    if (i != child_.end() && i->second.pid > 0) ::kill(i->second.pid, signal);
}

pid_t Fleet::pid(const std::string& name) {
    Lock l(m_);
    const auto i = child_.find(name);
    return i == child_.end() ? -1 : i->second.pid;
}

int Fleet::wait_end(const std::string& name) {
    pid_t p;
    {
        Lock l(m_);
        p = child_[name].pid;
        if (p <= 0) return child_[name].code;
    }
    int st = 0;
    ::waitpid(p, &st, 0);
    Lock l(m_);
    child_[name].pid = -1;
    child_[name].code = WIFEXITED(st) ? WEXITSTATUS(st) : 128 + WTERMSIG(st);
    return child_[name].code;
}

void Fleet::read_loop() {
    for (;;) {
        std::vector<pollfd> f{{wake_[0], POLLIN, 0}};
        std::vector<std::string> who{""};
        {
            Lock l(m_);
            if (end_) return;
            for (auto& c : child_)
                if (c.second.fd >= 0) {
                    f.push_back({c.second.fd, POLLIN, 0});
                    who.push_back(c.first);
                }
        }
        if (::poll(f.data(), f.size(), -1) < 0) continue;
        char b[8192];
        if ((f[0].revents & POLLIN) != 0 && ::read(wake_[0], b, sizeof b) < 0) continue;
        Lock l(m_);
        for (std::size_t i = 1; i < f.size(); ++i) {
            if (f[i].revents == 0) continue;
            Child& c = child_[who[i]];
            if (c.fd != f[i].fd) continue;
            const ssize_t n = ::read(c.fd, b, sizeof b);
            if (n <= 0) {
                ::close(c.fd);
                c.fd = -1;
                c_.notify_all();
                continue;
            }
            c.part.append(b, static_cast<std::size_t>(n));
            for (auto e = c.part.find('\n'); e != std::string::npos; e = c.part.find('\n')) {
                const std::string line = c.part.substr(0, e);
                c.part.erase(0, e + 1);
                std::ofstream(p_.folder + "/" + who[i] + ".log", std::ios::app) << line << "\n";
                if (p_.echo) std::fprintf(stderr, "%s: %s\n", who[i].c_str(), line.c_str());
                c.lines.push_back(line);
                if (c.lines.size() > 20000) c.lines.pop_front();
            }
            c_.notify_all();
        }
    }
}

bool Fleet::wait_line(const std::string& name, const std::vector<std::string>& words, int limit_s) {
    return wait_lines(name, {words}, limit_s);
}

bool Fleet::wait_lines(const std::string& name, std::vector<std::vector<std::string>> lines, int limit_s) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(limit_s);
    const auto holds = [](const std::string& line, const std::vector<std::string>& words) {
        return std::all_of(words.begin(), words.end(),
                           [&line](const std::string& word) { return line.find(word) != std::string::npos; });
    };
    Lock l(m_);
    for (;;) {
        Child& c = child_[name];
        while (!c.lines.empty()) {
            const std::string line = c.lines.front();
            c.lines.pop_front();
            const auto met = std::remove_if(lines.begin(), lines.end(),
                                            [&](const auto& words) { return holds(line, words); });
            lines.erase(met, lines.end());
            if (lines.empty()) return true;
        }
        if (c.fd < 0) return false;
        if (c_.wait_until(l, end) == std::cv_status::timeout) return false;
    }
}

void Fleet::forget_lines(const std::string& name) {
    Lock l(m_);
    child_[name].lines.clear();
}

std::vector<std::string> Fleet::names(const std::string& role) const {
    std::vector<std::string> v;
    for (const auto& a : at_)
        if (a.second.role == role) v.push_back(a.first);
    return v;
}

void Fleet::list_servers(const std::vector<std::string>& names) {
    json::array a;
    for (const auto& n : names) {
        const At& s = at_.at(n);
        a.push_back(json::object{{"address", s.visits},
                                 {"service", s.service},
                                 {"instance", s.instance},
                                 {"locality", s.locality},
                                 {"state", "serving"}});
    }
    list_rows(json::serialize(a));
}

void Fleet::list_rows(const std::string& servers) {
    weft::Ask q{weft::http::verb::post, "/control", 11};
    q.body() = "{\"servers\":" + servers + "}";
    weft::call_blocking(platform_, q, 5 * pith::kSecond);
}

void Fleet::stop_all(int signal) {
    Lock l(m_);
    for (auto& c : child_)
        if (c.second.pid > 0) ::kill(c.second.pid, signal);
}

std::string Fleet::run(const std::vector<std::string>& args, int* code) {
    std::vector<std::string> v{p_.program};
    v.insert(v.end(), args.begin(), args.end());
    int fd = -1;
    const pid_t pid = spawn(v, &fd);
    std::string out;
    char b[4096];
    for (ssize_t n = 0; (n = ::read(fd, b, sizeof b)) > 0;) out.append(b, static_cast<std::size_t>(n));
    ::close(fd);
    int st = 0;
    ::waitpid(pid, &st, 0);
    *code = WIFEXITED(st) ? WEXITSTATUS(st) : 128 + WTERMSIG(st);
    return out;
}

std::string Fleet::sample_bundle(int number, double scale) const {
    json::object b;
    b["number"] = number;
    json::array sv, rt, cu, ke;
    for (const auto& s : p_.servers) {
        sv.push_back(json::object{{"name", s.first}});
        rt.push_back(json::object{{"name", "read-" + s.first},
                                  {"path", "/" + s.first + "/*"},
                                  {"methods", {"GET", "HEAD"}},
                                  {"service", s.first},
                                  {"kind", "read"},
                                  {"timeout_ms", 1000}});
        rt.push_back(json::object{{"name", "write-" + s.first},
                                  {"path", "/" + s.first},
                                  {"methods", {"POST"}},
                                  {"service", s.first},
                                  {"kind", "write"},
                                  {"timeout_ms", 2000}});
    }
    const std::pair<const char*, double> c[] = {{"large", 120}, {"middle", 40}, {"small", 8}};
    for (const auto& x : c) {
        json::array r;
        for (const auto& s : p_.servers) {
            r.emplace_back("read-" + s.first);
            r.emplace_back("write-" + s.first);
        }
        cu.push_back(json::object{{"name", x.first}, {"allowance_per_s", x.second * scale}, {"routes", r}});
        ke.push_back(json::object{{"digest", creed::key_digest(std::string("key-") + x.first)},
                                  {"customer", x.first}});
    }
    b["services"] = sv;
    b["routes"] = rt;
    b["customers"] = cu;
    b["keys"] = ke;
    return json::serialize(b);
}

std::string Fleet::sign(const std::string& bundle) const {
    auto s = creed::sign(bundle, secret_key_);
    return s ? *s : std::string();
}

}  // namespace mime
