#pragma once
// Asks many nodes at once, with one deadline for all.
#include <boost/json.hpp>
#include <string>
#include <vector>

#include "pith/error.hpp"
#include "weft/desk.hpp"

namespace helm {

// A process of the fleet. `address` is its operators' address, `state` as membership has it: live, draining
// or down.
struct Node {
    std::string name, role, address, state;
};

// What a node answered, or why it did not.
struct NodeAnswer {
    Node node;
    pith::Result<weft::Answer> answer = pith::fail(pith::Kind::unreachable, "not asked");

    boost::json::object body() const;  // empty where it is no JSON object
    bool ok() const { return answer && answer->result_int() == 200; }
    std::string failure() const;  // of one that is not ok()
};

class Fleet {
  public:
    // `addresses`: operators' addresses of some nodes; `token`: sent with each call, where not empty;
    // `patience`: from now on, for all calls together.
    Fleet(std::vector<std::string> addresses, std::string token, pith::Micros patience);
    // All nodes that any of the given addresses knows. Kind::unreachable where none of them answers.
    pith::Result<std::vector<Node>> nodes();
    // In the order of `nodes`.
    std::vector<NodeAnswer> ask(const std::vector<Node>& nodes, const std::string& method,
                                const std::string& target, const std::string& body = {});

  private:
    pith::Micros time_left() const;

    std::vector<std::string> addresses_;
    std::string token_;
    pith::Micros deadline_;
};

}  // namespace helm
