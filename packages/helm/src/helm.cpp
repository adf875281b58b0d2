// The command line: flags, the table of commands, help.
#include "helm/helm.hpp"

#include <algorithm>
#include <iostream>
#include <iterator>

#include "commands.hpp"
#include "flags.hpp"
#include "output.hpp"
#include "pith/flags.hpp"
#include "pith/hash.hpp"

namespace helm {

using pith::Kind;

namespace {

constexpr int kLeastTimeout = 100, kMostTimeout = 60000;  // ms
constexpr std::size_t kHelpWidth = 22;

struct Command {
    const char* name;
    const char* arguments;
    const char* help;
    int (*run)(const Arguments&);
    bool needs_nodes;
};

const Command kCommands[] = {
    {"keygen", "", "make a signer's keys: the secret to --out, the public one shown", run_keygen, false},
    {"secret", "", "make a fleet's shared secret", run_secret, false},
    {"key", "[KEY]", "make a customer's key, or the digest of one", run_key, false},
    {"import", "FILE", "routes from an OpenAPI 3 document (JSON), for a bundle of --service", run_import,
     false},
    {"check", "FILE", "check a bundle, signed or not, without any fleet", run_check, false},
    {"sign", "FILE", "sign a bundle off with --signing_key", run_sign, false},
    {"push", "FILE", "hand a signed bundle in and wait for its acknowledgement", run_push, true},
    {"status", "", "every node: bundle, readiness, disk, duties; the keepers' votes and revisions",
     run_status, true},
    {"watch", "", "status again and again", run_watch, true},
    {"show", "", "the bundle that stands", run_show, true},
    {"diff", "FILE", "what a bundle would change", run_diff, true},
    {"history", "", "the numbers that the keepers know as decided, and what stands", run_history, true},
    {"allowance", "[CUSTOMER]", "released, turned away, queued and assumed, over the fleet", run_allowance,
     true},
    {"servers", "", "servers as the proxies see them", run_servers, true},
    {"drain", "SERVER|PROXY", "no more visits for a server (IP:PORT), or callers for a proxy (name)",
     run_drain, true},
    {"undrain", "SERVER|PROXY", "the contrary", run_undrain, true},
    {"explain", "TRY-ID", "why a try was let in or turned away, and what became of it", run_explain, true},
    {"log-level", "LEVEL", "change the log level of every node", run_log_level, true},
};

pith::Result<bool> check_nodes(const Command& command) {
    if (FLAGS_nodes.empty())
        return pith::fail(Kind::settings_wrong, std::string(command.name) + " needs --nodes IP:PORT");
    const auto addresses = node_addresses();
    if (!addresses) return tl::unexpected<pith::Error>(addresses.error());
    return true;
}

}  // namespace

std::string help() {
    std::string text = "usage: marblesaddle helm COMMAND [ARGS] [FLAGS]\n\ncommands:\n";
    for (const auto& command : kCommands)
        text += "  " + padded(std::string(command.name) + " " + command.arguments, kHelpWidth) +
                command.help + "\n";
    return text + "\nflags:\n" + pith::flag_help(flag_names()) +
           "\nexit codes: 0 well, 1 refused, 2 usage, 3 partial answers, 4 unreachable, 5 outcome unknown\n";
}

int run(const std::vector<std::string>& args) {
    pith::crypto_start();
    const auto words = pith::take_flags(args, flag_names());
    if (!words) return print_error(words.error());
    if (words->empty()) {
        std::cerr << help();
        return kUsage;
    }
    if (FLAGS_timeout_ms < kLeastTimeout || FLAGS_timeout_ms > kMostTimeout)
        return print_error({Kind::settings_wrong, "--timeout_ms must be 100 to 60000"});
    const std::string& name = words->front();
    const auto command = std::find_if(std::begin(kCommands), std::end(kCommands),
                                      [&name](const Command& c) { return name == c.name; });
    if (command == std::end(kCommands))
        return print_error(
            {Kind::settings_wrong, "no command \"" + name + "\": see marblesaddle helm --help"});
    if (command->needs_nodes) {
        const auto checked = check_nodes(*command);
        if (!checked) return print_error(checked.error());
    }
    return command->run({words->begin() + 1, words->end()});
}

}  // namespace helm
