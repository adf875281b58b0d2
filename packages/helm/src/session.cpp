#include "session.hpp"

#include <algorithm>
#include <iterator>

#include "flags.hpp"

namespace helm {

pith::Result<Session> Session::open() {
    auto addresses = node_addresses();
    if (!addresses) return tl::unexpected<pith::Error>(addresses.error());
    Fleet fleet(std::move(*addresses), FLAGS_operator_token,
                static_cast<pith::Micros>(FLAGS_timeout_ms) * pith::kMilli);
    auto nodes = fleet.nodes();
    if (!nodes) return tl::unexpected<pith::Error>(nodes.error());
    return Session(std::move(fleet), std::move(*nodes));
}

std::vector<Node> Session::of_role(const std::string& role) const {
    std::vector<Node> found;
    std::copy_if(nodes_.begin(), nodes_.end(), std::back_inserter(found),
                 [&role](const Node& node) { return node.role == role; });
    return found;
}

NodeAnswer Session::ask_one(const Node& node, const std::string& method, const std::string& target,
                            const std::string& body) {
    return std::move(fleet_.ask({node}, method, target, body).front());
}

}  // namespace helm
