#include "helm/fleet.hpp"

#include <algorithm>
#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>
#include <map>

#include "json_fields.hpp"

namespace helm {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

// The members that a node's status names, but those that left.
void add_members(const json::object& status, std::map<std::string, Node>* nodes) {
    for (const auto& member : objects_in(status, "members")) {
        const std::string state = string_field(member, "state");
        if (state == "left") continue;
        const std::string name = string_field(member, "name");
        Node& node = (*nodes)[name];
        if (node.address.empty())
            node = {name, string_field(member, "role"), string_field(member, "operator_address"), state};
    }
}

}  // namespace

json::object NodeAnswer::body() const {
    if (!answer) return {};
    boost::system::error_code error;
    auto value = json::parse(answer->body(), error);
    return error || !value.is_object() ? json::object{} : value.get_object();
}

std::string NodeAnswer::failure() const {
    return answer ? "status " + std::to_string(answer->result_int()) : answer.error().message;
}

Fleet::Fleet(std::vector<std::string> addresses, std::string token, pith::Micros patience)
    : addresses_(std::move(addresses)), token_(std::move(token)), deadline_(pith::mono_now() + patience) {}

pith::Micros Fleet::time_left() const {
    return std::max<pith::Micros>(pith::kMilli, deadline_ - pith::mono_now());
}

std::vector<NodeAnswer> Fleet::ask(const std::vector<Node>& nodes, const std::string& method,
                                   const std::string& target, const std::string& body) {
    std::vector<NodeAnswer> answers(nodes.size());
    asio::io_context io;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        answers[i].node = nodes[i];
        asio::spawn(
            io,
            [&, i](asio::yield_context yield) {
                weft::Ask request;
                request.method_string(method);
                request.target(target);
                if (!token_.empty()) request.set("Marble-Operator", token_);
                request.body() = body;
                answers[i].answer = weft::call(io, nodes[i].address, std::move(request), time_left(), yield);
            },
            asio::detached);
    }
    io.run();
    return answers;
}

pith::Result<std::vector<Node>> Fleet::nodes() {
    std::vector<Node> given;
    for (const auto& address : addresses_) given.push_back({address, "", address, ""});
    std::map<std::string, Node> found;
    std::string why = "no address given";
    for (const auto& answer : ask(given, "GET", "/v1/status")) {
        if (!answer.ok()) {
            why = answer.failure();
            continue;
        }
        const auto status = answer.body();
        const std::string name = string_field(status, "name");
        found[name] = {name, string_field(status, "role"), answer.node.address, "live"};
        add_members(status, &found);
    }
    if (found.empty())
        return pith::fail(pith::Kind::unreachable, "no node answers (" + why + "): check --nodes");
    std::vector<Node> nodes;
    nodes.reserve(found.size());
    for (auto& entry : found) nodes.push_back(std::move(entry.second));
    return nodes;
}

}  // namespace helm
