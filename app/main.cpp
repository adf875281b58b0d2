// One program; the role is a subcommand (docs/design.md 2.1).
#include <gflags/gflags.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "helm/helm.hpp"
#include "pith/flags.hpp"
#include "pith/hash.hpp"
#include "pith/log.hpp"
#include "pith/settings.hpp"
#include "span/proxy.hpp"

DEFINE_string(settings, "", "settings file, JSON");
DEFINE_bool(check_settings, false, "check the settings and end");
#define X(n, d) DEFINE_string(n, "", d);
X(fleet, "name of the fleet")
X(name, "this process's name")
X(locality, "zone of this machine")
X(weft, "IP:PORT for frames between processes")
X(visits, "IP:PORT for callers (proxy)")
X(operator_address, "IP:PORT for operators")
X(platform, "IP:PORT of the platform's listing (proxy)")
X(data, "folder for what must last (keeper)")
X(secret_file, "file with the fleet's shared secret")
X(log_level, "debug, info, warn or error")
X(seeds, "IP:PORT,IP:PORT,IP:PORT of other processes")
#undef X

namespace {

constexpr int kUsageError = 2;
constexpr std::size_t kMaxSettingsFile = 256 * 1024;  // bytes

const std::vector<std::string> kFlags = {
    "settings",         "check_settings", "fleet", "name",        "locality",  "weft", "visits",
    "operator_address", "platform",       "data",  "secret_file", "log_level", "seeds"};

std::string usage() {
    return "usage: marblesaddle proxy|keeper|helm [FLAGS]\n\n"
           "  proxy   serves callers and steers each customer's allowance with its partners\n"
           "  keeper  keeps the operators' bundles on its disk and feeds them to the proxies\n"
           "  helm    the operators' command line over the fleet\n\n"
           "marblesaddle ROLE --help tells each role's flags; --version the version.\n";
}

int usage_error(const std::string& message) {
    std::cerr << "marblesaddle: " << message << "\n";
    return kUsageError;
}

bool contains(const std::vector<std::string>& words, const char* word) {
    return std::find(words.begin(), words.end(), word) != words.end();
}

// Values of the flags that stand for settings; empty where a flag was not given.
std::map<std::string, std::string> settings_flags() {
    std::map<std::string, std::string> values;
    for (const auto& name : kFlags) {
        std::string value;
        const bool is_setting = name != "settings" && name != "check_settings";
        if (is_setting && gflags::GetCommandLineOption(name.c_str(), &value)) values[name] = value;
    }
    return values;
}

pith::Result<pith::Settings> settings_for(const std::string& role) {
    std::string text;
    if (!FLAGS_settings.empty()) {
        auto file = pith::read_file(FLAGS_settings, kMaxSettingsFile);
        if (!file) return tl::unexpected<pith::Error>(file.error());
        text = std::move(*file);
    }
    return pith::read_settings(role, text, settings_flags());
}

int run_daemon(const std::string& role, const std::vector<std::string>& arguments) {
    const auto words = pith::take_flags(arguments, kFlags);
    if (!words) return usage_error(words.error().message);
    if (!words->empty())
        return usage_error("\"" + words->front() + "\" is not a flag: see marblesaddle " + role + " --help");
    const auto settings = settings_for(role);
    if (!settings) return usage_error(settings.error().message);
    if (FLAGS_check_settings) {
        std::cout << "settings are well\n";
        return EXIT_SUCCESS;
    }
    pith::log_start(settings->log_level);
    std::signal(SIGPIPE, SIG_IGN);
    // A file that may not grow is a failed write, not the end (docs/control.md, "Disk").
    std::signal(SIGXFSZ, SIG_IGN);
    return role == "proxy" ? span::run_proxy(*settings) : span::run_keeper(*settings);
}

int run_helm(const std::vector<std::string>& arguments) {
    if (!contains(arguments, "--help")) return helm::run(arguments);
    std::cout << helm::help();
    return EXIT_SUCCESS;
}

std::string daemon_help(const std::string& role) {
    return "usage: marblesaddle " + role + " --settings FILE [FLAGS]\n\nflags (they go over the file):\n" +
           pith::flag_help(kFlags);
}

}  // namespace

int main(int argc, char** argv) {
    pith::crypto_start();
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.empty()) {
        std::cerr << usage();
        return kUsageError;
    }
    if (contains(arguments, "--version")) {
        std::cout << "marblesaddle " << MS_VERSION << "\n";
        return EXIT_SUCCESS;
    }
    const std::string& role = arguments.front();
    const std::vector<std::string> rest(arguments.begin() + 1, arguments.end());
    if (role == "--help" || role == "help") {
        std::cout << usage();
        return EXIT_SUCCESS;
    }
    if (role == "helm") return run_helm(rest);
    if (role != "proxy" && role != "keeper")
        return usage_error("no role \"" + role + "\": it is proxy, keeper or helm");
    if (contains(rest, "--help")) {
        std::cout << daemon_help(role);
        return EXIT_SUCCESS;
    }
    return run_daemon(role, rest);
}
