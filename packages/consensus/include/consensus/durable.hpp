#pragma once
// What a control node's disk holds, as one document that is always written whole (docs/control.md, "Disk").
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "pith/error.hpp"
#include "weft/messages.hpp"

namespace consensus {

// A founded membership, or the proposal of one (docs/control.md, "First start").
struct Proposal {
    std::string founder;
    std::uint64_t id = 0;  // 0: none
    std::vector<weft::Voter> voters;
    bool adopted = false;  // ours, but told us by others: our disk had been emptied
};

struct DurableState {
    std::string disk;       // identity of this disk, drawn as the folder is made
    weft::Ballot promised;  // nothing below is accepted any more
    weft::Ballot accepted;  // under which `state` was accepted; round 0: the founded state, or none
    weft::ControlState state;
    std::string text;            // the content of state.hash
    weft::ControlState decided;  // a state known as decided (its text is not kept): where attempts begin
    Proposal founding;
    bool founded = false;
    std::set<std::uint64_t> withdrawn;  // own proposals
};

std::string encode(const DurableState& state);
// An error where the bytes are cut, go on after their end or are of another format. Harm within them is found
// by the checksum that Storage writes with them.
pith::Result<DurableState> decode(std::string_view bytes);

// Asked of the disk: the whole document, synced before it is reported well.
struct SaveJob {
    std::uint64_t token = 0;
    DurableState state;
};

}  // namespace consensus
