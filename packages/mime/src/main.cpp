// The stand-ins and the fleet runner; tools, not part of the product (docs/design.md 9).
#include <gflags/gflags.h>
#include <unistd.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <iostream>

#include "mime/fleet.hpp"
#include "mime/soak.hpp"
#include "mime/stand_ins.hpp"
#include "pith/flags.hpp"
#include "pith/hash.hpp"
#include "pith/log.hpp"

DEFINE_string(listen, "127.0.0.1:0", "IP:PORT to listen on");
DEFINE_string(service, "notices", "server: its service");
DEFINE_string(instance, "i-1", "server: its instance");
DEFINE_int32(work_ms, 5, "server: time for a visit");
DEFINE_string(proxies, "", "callers: visits' addresses, IP:PORT,IP:PORT");
DEFINE_string(key, "key-large", "callers: the customer's key");
DEFINE_string(method, "GET", "callers: method");
DEFINE_string(path, "/notices/1", "callers: path");
DEFINE_double(rate, 20, "callers: visits a second");
DEFINE_double(seconds, 5, "callers: how long");
DEFINE_uint64(seed, 1, "callers: seed");
DEFINE_int32(deadline_ms, 2000, "callers: deadline");
DEFINE_bool(retry, false, "callers: retry once, at once");
DEFINE_string(program, "", "fleet: the marblesaddle program");
DEFINE_string(folder, "", "folder for settings, data and logs; fleet: run, soak: /tmp/marblesaddle-soak, and -SEED");
DEFINE_int32(proxy_count, 5, "fleet: proxies");
DEFINE_int32(servers_each, 2, "fleet: servers of each of the three services");
DEFINE_string(seeds, "1-3", "soak: seeds, A-B, one run each");
DEFINE_int32(keeper_count, 3, "soak: control nodes");
DEFINE_int32(server_count, 9, "soak: servers, in this process");
DEFINE_int32(caller_count, 24, "soak: callers, in this process");
DEFINE_int32(crowd, 8, "soak: clients that don't behave, at each proxy");
DEFINE_int32(memory_mb, 96, "soak: memory of each process");
DEFINE_double(pause_s, 0.8, "soak: mean time between two troubles");
DEFINE_bool(large, false, "soak: plain links and a tolerance of the allowances, for fleets of over 24 proxies");
DEFINE_bool(echo, false, "fleet: logs to the terminal too");

namespace {

const std::vector<std::string> kFlags = {"listen",      "service",      "instance", "work_ms", "proxies",
                                         "key",         "method",       "path",     "rate",    "seconds",
                                         "seed",        "deadline_ms",  "retry",    "program", "folder",
                                         "proxy_count", "servers_each", "echo",     "seeds",   "keeper_count",
                                         "server_count", "caller_count", "pause_s", "large", "crowd", "memory_mb"};

int listening(const pith::Result<std::string>& a, boost::asio::io_context& io) {
    if (!a) {
        std::cerr << "mime: " << a.error().message << "\n";
        return 2;
    }
    std::cout << "event=listening address=" << *a << std::endl;
    boost::asio::signal_set s(io, SIGTERM, SIGINT);
    s.async_wait([&io](boost::system::error_code, int) { io.stop(); });
    io.run();
    return 0;
}

std::string self_path() {
    char me[4096];
    const ssize_t n = ::readlink("/proc/self/exe", me, sizeof me - 1);
    return n > 0 ? std::string(me, static_cast<std::size_t>(n)) : std::string("/proc/self/exe");
}

int fleet() {
    mime::FleetPlan p;
    p.program = FLAGS_program;
    p.folder = FLAGS_folder.empty() ? "run" : FLAGS_folder;
    p.proxies = FLAGS_proxy_count;
    for (auto& s : p.servers) s.second = FLAGS_servers_each;
    p.echo = FLAGS_echo;
    p.mime = self_path();
    if (p.program.empty()) {
        std::cerr << "mime: fleet needs --program=PATH of marblesaddle\n";
        return 2;
    }
    mime::Fleet f(p);
    auto ok = f.prepare();
    if (!ok) {
        std::cerr << "mime: " << ok.error().message << "\n";
        return 2;
    }
    f.start_all();
    std::ofstream(p.folder + "/bundle-1.json") << f.sample_bundle(1) << "\n";
    std::ofstream(p.folder + "/bundle-2.json") << f.sample_bundle(2, 2.0) << "\n";
    std::string desks, visits;
    for (const auto& k : f.names("keeper")) desks += (desks.empty() ? "" : ",") + f.desk(k);
    for (const auto& k : f.names("proxy")) visits += (visits.empty() ? "" : ",") + f.visits(k);
    std::ofstream(p.folder + "/env") << "NODES=" << desks << "\nPROXIES=" << visits << "\n";
    std::cout << "fleet runs; settings, logs and sample bundles are in " << p.folder << "\n"
              << "  . " << p.folder << "/env     # sets NODES and PROXIES\n"
              << "Ctrl-C or SIGTERM ends it.\n"
              << std::flush;
    boost::asio::io_context io;
    boost::asio::signal_set s(io, SIGTERM, SIGINT);
    s.async_wait([&io](boost::system::error_code, int) { io.stop(); });
    io.run();
    return 0;
}

// Runs of a whole fleet under troubles, one for each seed; 1 where a rule was broken in any.
int soak(const std::string& self) {
    const auto dash = FLAGS_seeds.find('-');
    const std::uint64_t first = std::strtoull(FLAGS_seeds.c_str(), nullptr, 10);
    const std::uint64_t last =
        dash == std::string::npos ? first : std::strtoull(FLAGS_seeds.c_str() + dash + 1, nullptr, 10);
    const std::string folder = FLAGS_folder.empty() ? "/tmp/marblesaddle-soak" : FLAGS_folder;
    std::uint64_t broken = 0;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        mime::SoakPlan plan;
        plan.fleet.program = FLAGS_program;
        plan.fleet.mime = self;
        plan.fleet.folder = folder + "-" + std::to_string(seed);
        plan.fleet.keepers = FLAGS_keeper_count;
        plan.fleet.proxies = FLAGS_proxy_count;
        plan.fleet.large = FLAGS_large;
        plan.fleet.memory_mb = static_cast<std::size_t>(FLAGS_memory_mb);
        plan.crowd = static_cast<std::size_t>(FLAGS_crowd);
        plan.servers = FLAGS_server_count;
        plan.callers = FLAGS_caller_count;
        plan.seconds = FLAGS_seconds;
        plan.pause_s = FLAGS_pause_s;
        plan.seed = seed;
        const auto verdict = mime::soak(plan);
        if (!verdict) {
            std::cerr << "mime: " << verdict.error().message << "\n";
            return 2;
        }
        std::cout << "seed=" << seed << " " << verdict->line() << std::endl;
        broken += verdict->broken.empty() ? 0 : 1;
    }
    std::cout << "runs=" << last - first + 1 << " broken=" << broken << "\n";
    return broken == 0 ? 0 : 1;
}

std::string usage() {
    return "usage: mime platform|server|callers|fleet|soak [FLAGS]\n\nflags:\n" + pith::flag_help(kFlags);
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    pith::crypto_start();
    const std::vector<std::string> args(argv + 1, argv + argc);
    if (args.empty() || args[0] == "--help") {
        std::cout << usage();
        return args.empty() ? 2 : 0;
    }
    auto rest = pith::take_flags({args.begin() + 1, args.end()}, kFlags);
    if (!rest) {
        std::cerr << "mime: " << rest.error().message << "\n";
        return 2;
    }
    boost::asio::io_context io;
    if (args[0] == "platform") {
        mime::Platform p(io);
        return listening(p.open(FLAGS_listen), io);
    }
    if (args[0] == "server") {
        mime::Server s(io, FLAGS_service, FLAGS_instance, FLAGS_work_ms * pith::kMilli);
        return listening(s.open(FLAGS_listen), io);
    }
    if (args[0] == "callers") {
        mime::CallerPlan p;
        std::string w;
        for (char c : FLAGS_proxies + ",") {
            if (c != ',') {
                w += c;
            } else {
                if (!w.empty()) p.proxies.push_back(w);
                w.clear();
            }
        }
        if (p.proxies.empty()) {
            std::cerr << "mime: callers needs --proxies IP:PORT\n";
            return 2;
        }
        p.key = FLAGS_key;
        p.method = FLAGS_method;
        p.path = FLAGS_path;
        p.tag = "c" + std::to_string(pith::wall_now());
        p.rate = FLAGS_rate;
        p.seconds = FLAGS_seconds;
        p.seed = FLAGS_seed;
        p.deadline_ms = FLAGS_deadline_ms;
        p.retry = FLAGS_retry;
        std::cout << mime::tally_json(mime::call(p)) << "\n";
        return 0;
    }
    if (args[0] == "fleet") return fleet();
    if (args[0] == "soak") return soak(self_path());
    std::cerr << usage();
    return 2;
}
