#pragma once
// The keeper's decisions about bundles: stage, commit, acknowledge, mend (docs/design.md 5.2, 5.3).
// A state machine: disk work is asked for and reported back; it touches no disk itself.
#include <map>
#include <set>
#include <string>
#include <vector>

#include "creed/bundle.hpp"
#include "pith/error.hpp"
#include "pith/time.hpp"
#include "weft/messages.hpp"

namespace vault {

constexpr std::uint64_t kNoText = ~std::uint64_t{0};  // as the commit in StateAsk: none is asked for

// An electorate, or the proposal of one (docs/design.md 5.7).
struct Proposal {
    std::string founder;
    std::uint64_t id = 0;
    std::vector<weft::ElectorRec> members;
    bool adopted = false;  // ours, but told us by others: our disk had been emptied
};

// What a keeper's disk holds.
struct Held {
    bool founded = false;                           // this disk has had a vote before
    std::map<std::uint64_t, std::string> promises;  // number -> hash; one hash per number, ever
    std::uint64_t commit = 0;
    std::string hash, text;                                               // of the commit
    std::map<std::string, std::pair<std::uint64_t, std::string>> floors;  // duty -> epoch, holder
    std::uint64_t below = 0;  // promises of lower numbers were let go: none is promised again
    Proposal proposal;        // held; of the electorate, if `elected`
    bool elected = false;
    std::set<std::uint64_t> withdrawn;  // own proposals
};

// Asked of the disk; each must be synced before it is reported well.
struct Job {
    // floor: hash is the duty, text its holder. propose, elect, withdraw, drop: number is the proposal's,
    // hash its founder, text not empty where it was adopted.
    enum What { promise, commit, found, floor, propose, elect, withdraw, drop } what;
    std::uint64_t token;  // 0: nobody waits for it
    std::uint64_t number = 0;
    std::string hash, text;
    std::vector<weft::PromiseRec> promises;    // for found
    std::vector<weft::ElectorRec> electors{};  // for propose, elect
};
// What a job changes, and the promises that may be let go once a commit stands (docs/design.md 5.3).
void apply(const Job& j, Held* h);
void let_go(std::uint64_t commit, std::map<std::uint64_t, std::string>* promises, std::uint64_t* below);

struct Answer {  // to an operator's push
    std::uint64_t op;
    pith::Result<std::uint64_t> result;  // the number that stands, on a majority of disks
    std::string hash{};                  // of its content, which need not be what was pushed
};

struct Acts {
    weft::Out out;
    std::vector<Job> jobs;
    std::vector<Answer> answers;
    bool committed = false;  // a higher commit than before now stands here
};

struct VaultConfig {
    std::string name;
    std::vector<std::pair<std::string, std::string>>
        keepers;  // name, address; with ourselves; none: discovered
    std::vector<std::string> signers;
    pith::Micros patience = 3 * pith::kSecond;
    pith::Micros again = 400 * pith::kMilli;
    bool acknowledge_old = false;  // pushes at or below the standing number (docs/design.md 5.2)
    bool first_start = false;      // may take part in founding (docs/design.md 5.7)
};

class Vault {
  public:
    Vault(VaultConfig c, Held h, std::uint64_t nonce);

    void push(pith::Micros now, std::uint64_t op, const std::string& text, Acts* a);
    void hear(pith::Micros now, const weft::Envelope& e, Acts* a);
    void wrote(pith::Micros now, std::uint64_t token, bool ok, Acts* a);
    void tick(pith::Micros now, Acts* a);
    // A commit told by any node of the fleet: it stands, for only a majority's staging makes one.
    void learn(pith::Micros now, std::uint64_t number, const std::string& hash, const std::string& text,
               Acts* a);

    // A keeper of that name lives at another address now (docs/design.md 5.6).
    void readdress(const std::string& name, const std::string& address);

    // Where keepers are discovered: the founded electorate, and all keepers that live (docs/design.md 5.7).
    void electorate(const std::vector<weft::ElectorRec>& v);
    void peers(std::map<std::string, std::string> v) { peers_ = std::move(v); }
    // Somebody says that a higher commit stands: its text is asked for, from one at a time.
    void want(pith::Micros now, std::uint64_t commit, const std::string& address, Acts* a);

    bool elector() const { return is_elector(c_.name); }
    bool voting() const { return voting_; }
    bool disk_ok() const { return disk_ok_; }
    std::uint64_t commit() const { return commit_; }
    const std::string& hash() const { return hash_; }
    const std::string& text() const { return text_; }
    const std::map<std::uint64_t, std::string>& promises() const { return promises_; }
    std::size_t pending() const { return ops_.size(); }

  private:
    struct Op {
        std::uint64_t id, number;
        std::string hash, text;
        bool committing = false;
        bool waiting = false;  // refused, but a higher commit may still come here and be confirmed
        std::set<std::string> staged, committed, refused;
        std::string why;
        pith::Micros until, next;
    };
    struct Task {
        Job job;
        std::string from, address;  // empty: our own
        std::uint64_t op = 0;
    };
    std::size_t majority() const { return c_.keepers.size() / 2 + 1; }
    std::string address(const std::string& name) const;
    bool is_keeper(const std::string& name) const;
    bool is_elector(const std::string& name) const;
    void confirm(std::uint64_t op, Acts* a);  // the op goes on as one that confirms what stands
    void overtake(Acts* a);
    void keep_text(std::uint64_t number, const std::string& hash, const std::string& text);
    void heard_commit(pith::Micros now, const std::string& from, const weft::CommitAsk& c, Acts* a);
    void submit(Task t, Acts* a);
    // Takes a promise or says why not; empty: taken, and the disk will report.
    std::string stage(std::uint64_t number, const std::string& hash, const std::string& text,
                      const std::string& from, std::uint64_t op, Acts* a);
    void commit(std::uint64_t number, const std::string& hash, const std::string& text,
                const std::string& from, std::uint64_t op, Acts* a);
    void staged_by(pith::Micros now, std::uint64_t op, const std::string& who, Acts* a);
    void committed_by(std::uint64_t op, const std::string& who, Acts* a);
    void refused_by(std::uint64_t op, const std::string& who, const std::string& why, Acts* a);
    void ask(Op& o, Acts* a);
    void finish(std::uint64_t op, pith::Result<std::uint64_t> r, Acts* a);
    void try_found(Acts* a);

    VaultConfig c_;
    std::map<std::uint64_t, std::string> promises_;  // on disk
    std::map<std::uint64_t, std::string> writing_;   // asked of the disk
    std::uint64_t commit_ = 0;                       // on disk
    std::string hash_, text_;
    std::uint64_t below_ = 0;                                              // none is promised below it
    std::map<std::uint64_t, std::pair<std::string, std::string>> staged_;  // hash and text, the newest few
    std::map<std::string, std::string> peers_;                             // discovered, by name
    pith::Micros next_want_ = 0;
    bool voting_ = false, founding_ = false, disk_ok_ = true;
    std::uint64_t nonce_, token_ = 0, op_serial_ = 0;
    std::map<std::string, weft::StateSaid> said_;  // what the others told an emptied keeper
    std::map<std::uint64_t, Task> tasks_;
    std::map<std::uint64_t, Op> ops_;
    std::map<std::uint64_t, std::uint64_t> caller_;  // our op -> operator's op
    pith::Micros next_ask_ = 0;
};

}  // namespace vault
