#include "vault/disk.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <lmdb.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <map>
#include <sstream>

#include "pith/hash.hpp"
#include "pith/settings.hpp"

namespace vault {

using pith::fail;
using pith::Kind;

struct Disk::Impl {
    MDB_env* env = nullptr;
    MDB_dbi dbi = 0;
    int lock = -1, journal = -1;
    std::uint64_t inc = 0, below = 0, commit = 0;
    std::map<std::uint64_t, std::string> promises;
    std::size_t lines = 0;
    bool torn = false;  // a write to the journal failed: what its end holds is not known
};

Disk::Disk(std::string folder) : impl_(std::make_unique<Impl>()), folder_(std::move(folder)) {}

Disk::~Disk() {
    if (impl_->env != nullptr) mdb_env_close(impl_->env);
    if (impl_->journal >= 0) ::close(impl_->journal);
    if (impl_->lock >= 0) ::close(impl_->lock);
}

namespace {

auto bad(const std::string& what, const std::string& why) {
    return fail(Kind::disk_failed,
                what + ": " + why + ": check the disk and its free space, then start the keeper again");
}

bool sync_folder(const std::string& f) {
    int d = ::open(f.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (d < 0) return false;
    const bool ok = ::fsync(d) == 0;
    ::close(d);
    return ok;
}

// "<64 hex of the rest>\n<rest>"
bool check_file(const std::string& s, std::string* body) {
    if (s.size() < 65 || s[64] != '\n') return false;
    *body = s.substr(65);
    return pith::digest_hex(*body) == s.substr(0, 64);
}

// Promises are lines of a journal, one write and one sync each: "p NUMBER HASH CHECK", and "b NUMBER - CHECK"
// where those of lower numbers were let go.
constexpr const char* kJournal = "promises";
constexpr std::size_t kMaxLines = 4096;

std::string journal_line(char what, std::uint64_t n, const std::string& hash) {
    const std::string s = std::string(1, what) + " " + std::to_string(n) + " " + hash + " ";
    return s + pith::digest_hex(s).substr(0, 16) + "\n";
}

bool read_line(const std::string& l, char* what, std::uint64_t* n, std::string* hash) {
    std::istringstream in(l);
    std::string w, d, h, check;
    if (!(in >> w >> d >> h >> check) || w.size() != 1 || (w != "p" && w != "b")) return false;
    if (d.empty() || d.size() > 20 || d.find_first_not_of("0123456789") != std::string::npos) return false;
    *what = w[0];
    *n = std::strtoull(d.c_str(), nullptr, 10);
    *hash = h;
    return journal_line(*what, *n, h) == l + "\n";
}

// "FOUNDER ID adopted|- NAME=ADDRESS …": names and addresses hold neither spaces nor '='.
std::string proposal_text(const Job& j) {
    std::string s = (j.hash.empty() ? "-" : j.hash) + " " + std::to_string(j.number) +
                    (j.text.empty() ? " -" : " adopted");
    for (const auto& e : j.electors) s += " " + e.name + "=" + e.address;
    return s;
}

Proposal read_proposal(const std::string& s) {
    std::istringstream in(s);
    Proposal p;
    std::string adopted, e;
    in >> p.founder >> p.id >> adopted;
    if (p.founder == "-") p.founder.clear();
    p.adopted = adopted == "adopted";
    while (in >> e) {
        const auto i = e.find('=');
        if (i != std::string::npos) p.members.push_back({e.substr(0, i), e.substr(i + 1)});
    }
    return p;
}

std::string commit_name(std::uint64_t n) {
    std::string d = std::to_string(n);
    return "commit-" + std::string(20 - d.size(), '0') + d + ".json";
}

}  // namespace

pith::Result<Held> Disk::open() {
    if (::mkdir(folder_.c_str(), 0700) != 0 && errno != EEXIST)
        return bad("can't make " + folder_, std::strerror(errno));
    impl_->lock = ::open((folder_ + "/lock").c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600);
    struct flock fl {};
    fl.l_type = F_WRLCK;
    if (impl_->lock < 0 || ::fcntl(impl_->lock, F_SETLK, &fl) != 0)
        return fail(Kind::disk_failed,
                    folder_ + " is in use by another process: stop it, or give this keeper its own folder");
    // No lock file and no writable map: the library's own pages are private to this process
    // (docs/design.md 5.5).
    mdb_env_create(&impl_->env);
    mdb_env_set_mapsize(impl_->env, 16 * 1024 * 1024);
    int rc = mdb_env_open(impl_->env, (folder_ + "/memory.mdb").c_str(), MDB_NOSUBDIR | MDB_NOLOCK, 0600);
    if (rc != 0) return bad("can't open memory.mdb", mdb_strerror(rc));
    Held h;
    MDB_txn* t = nullptr;
    rc = mdb_txn_begin(impl_->env, nullptr, 0, &t);
    if (rc == 0) rc = mdb_dbi_open(t, nullptr, MDB_CREATE, &impl_->dbi);
    MDB_cursor* c = nullptr;
    if (rc == 0) rc = mdb_cursor_open(t, impl_->dbi, &c);
    if (rc != 0) return bad("can't read memory.mdb", mdb_strerror(rc));
    MDB_val k, v;
    while (mdb_cursor_get(c, &k, &v, MDB_NEXT) == 0) {
        const std::string key(static_cast<char*>(k.mv_data), k.mv_size),
            val(static_cast<char*>(v.mv_data), v.mv_size);
        if (key == "founded") h.founded = true;
        if (key == "incarnation") impl_->inc = std::stoull(val);
        if (key.compare(0, 6, "floor/") == 0 && val.find(' ') != std::string::npos)
            h.floors[key.substr(6)] = {std::stoull(val), val.substr(val.find(' ') + 1)};
        if (key == "proposal" && !h.elected) h.proposal = read_proposal(val);
        if (key == "electorate") {
            h.proposal = read_proposal(val);
            h.elected = true;
        }
        if (key.compare(0, 10, "withdrawn/") == 0) h.withdrawn.insert(std::stoull(key.substr(10)));
        if (key.compare(0, 8, "promise/") == 0) h.promises[std::stoull(key.substr(8))] = val;
    }
    mdb_cursor_close(c);
    rc = mdb_txn_commit(t);
    if (rc != 0) return bad("can't write memory.mdb", mdb_strerror(rc));
    // The newest sound commit counts; damaged ones are set aside and mended from the others.
    DIR* d = ::opendir(folder_.c_str());
    if (d == nullptr) return bad("can't list " + folder_, std::strerror(errno));
    std::vector<std::string> names;
    while (const dirent* e = ::readdir(d)) names.emplace_back(e->d_name);
    ::closedir(d);
    std::sort(names.rbegin(), names.rend());
    for (const auto& n : names) {
        if (n.compare(0, 7, "commit-") != 0 || n.size() != 32 || n.compare(27, 5, ".json") != 0) continue;
        auto s = pith::read_file(folder_ + "/" + n, 2 * creed::kMaxBundle);
        std::string body;
        if (!s || !check_file(*s, &body)) {
            aside_ = n + ".bad";
            ::rename((folder_ + "/" + n).c_str(), (folder_ + "/" + aside_).c_str());
            continue;
        }
        h.commit = std::stoull(n.substr(7, 20));
        h.hash = body.substr(0, 64);
        h.text = body.substr(65);
        break;
    }
    auto j = read_promises(&h);
    if (!j) return tl::unexpected<pith::Error>(j.error());
    let_go(h.commit, &h.promises, &h.below);
    impl_->promises = h.promises;
    impl_->below = h.below;
    impl_->commit = h.commit;
    auto w = write_promises();
    if (!w) return tl::unexpected<pith::Error>(w.error());
    return h;
}

pith::Result<bool> Disk::read_promises(Held* h) {
    const std::string path = folder_ + "/" + kJournal;
    if (::access(path.c_str(), F_OK) != 0) return true;
    auto s = pith::read_file(path, 64 * 1024 * 1024);
    if (!s) return tl::unexpected<pith::Error>(s.error());
    std::size_t at = 0;
    while (at < s->size()) {
        const auto end = s->find('\n', at);
        char what = 0;
        std::uint64_t n = 0;
        std::string hash;
        const bool whole = end != std::string::npos && read_line(s->substr(at, end - at), &what, &n, &hash);
        if (!whole) {
            // The last one was torn as the power went: nobody was told of it. Any other is damage.
            if (end == std::string::npos || end + 1 == s->size()) return true;
            return bad(
                "a line of " + path + " does not check",
                "promises may be lost; move the folder away, so that this keeper begins as an emptied one");
        }
        if (what == 'p')
            h->promises[n] = hash;
        else
            h->below = std::max(h->below, n);
        at = end + 1;
    }
    return true;
}

// The whole journal anew, and ready to be added to.
pith::Result<bool> Disk::write_promises() {
    if (impl_->journal >= 0) ::close(impl_->journal);
    impl_->journal = -1;
    std::string all;
    if (impl_->below > 0) all += journal_line('b', impl_->below, "-");
    for (const auto& p : impl_->promises) all += journal_line('p', p.first, p.second);
    auto w = replace_file(kJournal, all);
    if (!w) return w;
    impl_->lines = impl_->promises.size() + 1;
    const std::string path = folder_ + "/" + kJournal;
    impl_->journal = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
    if (impl_->journal < 0) return bad("can't open " + path, std::strerror(errno));
    return true;
}

pith::Result<bool> Disk::append_promise(const Job& j) {
    const std::string l = journal_line('p', j.number, j.hash);
    if (impl_->torn) return bad("can't write promises", "an earlier write failed");
    const ssize_t n = ::write(impl_->journal, l.data(), l.size());
    if (n != static_cast<ssize_t>(l.size()) || ::fdatasync(impl_->journal) != 0) {
        impl_->torn = true;
        return bad("can't sync promises", std::strerror(errno));
    }
    impl_->promises[j.number] = j.hash;
    ++impl_->lines;
    return true;
}

pith::Result<bool> Disk::write_file(const std::string& name, const std::string& text) {
    return replace_file(name, pith::digest_hex(text) + "\n" + text);
}

pith::Result<bool> Disk::replace_file(const std::string& name, const std::string& all) {
    const std::string to = folder_ + "/" + name, tmp = to + ".new";
    int f = ::open(tmp.c_str(), O_CREAT | O_WRONLY | O_TRUNC | O_CLOEXEC, 0600);
    if (f < 0) return bad("can't write " + tmp, std::strerror(errno));
    std::size_t n = 0;
    while (n < all.size()) {
        const ssize_t w = ::write(f, all.data() + n, all.size() - n);
        if (w < 0 && errno == EINTR) continue;
        if (w <= 0) break;
        n += static_cast<std::size_t>(w);
    }
    const int at = errno;
    const bool ok = n == all.size() && ::fsync(f) == 0;
    const int sy = errno;
    ::close(f);
    if (!ok) {
        ::unlink(tmp.c_str());
        return bad("can't sync " + tmp, std::strerror(n == all.size() ? sy : at));
    }
    if (::rename(tmp.c_str(), to.c_str()) != 0) return bad("can't rename " + tmp, std::strerror(errno));
    if (!sync_folder(folder_)) return bad("can't sync " + folder_, std::strerror(errno));
    return true;
}

// All in one transaction: one commit, which LMDB syncs itself.
pith::Result<bool> Disk::put(const Pairs& pairs, const std::string& gone) {
    MDB_txn* t = nullptr;
    int rc = mdb_txn_begin(impl_->env, nullptr, 0, &t);
    if (rc != 0) return bad("can't write memory.mdb", mdb_strerror(rc));
    for (const auto& p : pairs) {
        MDB_val k{p.first.size(), const_cast<char*>(p.first.data())},
            v{p.second.size(), const_cast<char*>(p.second.data())};
        if (rc == 0) rc = mdb_put(t, impl_->dbi, &k, &v, 0);
    }
    if (rc == 0 && !gone.empty()) {
        MDB_val k{gone.size(), const_cast<char*>(gone.data())};
        rc = mdb_del(t, impl_->dbi, &k, nullptr);
        if (rc == MDB_NOTFOUND) rc = 0;
    }
    if (rc != 0) {
        mdb_txn_abort(t);
        return bad("can't write memory.mdb", mdb_strerror(rc));
    }
    rc = mdb_txn_commit(t);
    if (rc != 0) return bad("can't sync memory.mdb", mdb_strerror(rc));
    return true;
}

std::uint64_t Disk::next_incarnation() {
    ++impl_->inc;
    return put({{"incarnation", std::to_string(impl_->inc)}}) ? impl_->inc : 0;
}

pith::Result<bool> Disk::carry_out(const Job& j) {
    switch (j.what) {
        case Job::promise:
            return append_promise(j);
        case Job::floor:
            return put({{"floor/" + j.hash, std::to_string(j.number) + " " + j.text}});
        case Job::commit: {
            auto w = write_file(commit_name(j.number), j.hash + "\n" + j.text);
            if (!w) return w;
            impl_->commit = std::max(impl_->commit, j.number);
            let_go(impl_->commit, &impl_->promises, &impl_->below);
            return impl_->lines > kMaxLines && !impl_->torn ? write_promises() : w;
        }
        case Job::propose:
            return put({{"proposal", proposal_text(j)}});
        case Job::elect:
            return put({{"electorate", proposal_text(j)}}, "proposal");
        case Job::withdraw:
            return put({{"withdrawn/" + std::to_string(j.number), "1"}}, "proposal");
        case Job::drop:
            return put({}, "proposal");
        case Job::found:
            break;
    }
    Pairs v{{"founded", "1"}};
    for (const auto& p : j.promises) {
        v.emplace_back("promise/" + std::to_string(p.number), p.hash);
        impl_->promises[p.number] = p.hash;
    }
    return put(v);
}

}  // namespace vault
