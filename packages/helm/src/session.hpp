#pragma once
// One command's conversation with the fleet: its nodes are found first, then those of one role, or all, are
// asked.
#include <string>
#include <vector>

#include "helm/fleet.hpp"

namespace helm {

class Session {
  public:
    // By --nodes, --operator_token and --timeout_ms. Kind::unreachable where nobody answers.
    static pith::Result<Session> open();
    const std::vector<Node>& nodes() const { return nodes_; }
    std::vector<Node> of_role(const std::string& role) const;
    std::vector<NodeAnswer> ask(const std::vector<Node>& nodes, const std::string& method,
                                const std::string& target, const std::string& body = {}) {
        return fleet_.ask(nodes, method, target, body);
    }
    NodeAnswer ask_one(const Node& node, const std::string& method, const std::string& target,
                       const std::string& body = {});

  private:
    Session(Fleet fleet, std::vector<Node> nodes) : fleet_(std::move(fleet)), nodes_(std::move(nodes)) {}

    Fleet fleet_;
    std::vector<Node> nodes_;
};

}  // namespace helm
