#pragma once
/// Connections that hold bytes, and which of them go where there is no room for others (docs/design.md 7.10).
///
/// Where an account is full, the connection goes that holds the most for the longest time while its peer is
/// waited for: the product of bytes and of the time by which the peer lags behind a least rate. One whose
/// peer keeps up, or that waits for somebody else, is left alone. One thread.
#include <boost/intrusive/list.hpp>
#include <functional>

#include "budget/process_limits.hpp"
#include "pith/time.hpp"

namespace budget {

constexpr std::size_t kLeastBytesPerSecond = 64 * 1024;   ///< of a peer that keeps up
constexpr pith::Micros kLagAllowed = 250 * pith::kMilli;  ///< behind that rate
constexpr std::size_t kSmallHolder = 64 * 1024;           ///< bytes; larger ones leave a quarter of the room

class Holders;
using HolderHook =
    boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// One connection: what it holds is counted here, and in its account. What every connection takes is not: the
/// number of connections is limited for that.
class Holder : public Source, public HolderHook {
  public:
    /// `let_go` is called where the connection has to go: it closes the connection and lets go of what it
    /// holds. Afterwards nothing can be taken.
    Holder(Holders& all, std::function<void()> let_go);
    ~Holder() override;
    Holder(const Holder&) = delete;
    Holder& operator=(const Holder&) = delete;

    /// False: there was no room for a connection more; it is to be closed.
    bool admitted() const { return admitted_; }
    bool evicted() const { return evicted_; }

    bool take(std::size_t amount) override;
    void give(std::size_t amount) override;
    /// For what is of use and not needed: leaves half of the room, and makes nobody go.
    bool take_spare(std::size_t amount);
    /// Bytes.
    std::size_t held() const { return held_; }
    /// Bytes that all of them may hold together.
    std::size_t room() const;
    /// So much of it is taken that what is long should wait before any of it is held.
    bool pressed() const;

    /// From now on the peer is waited for: it is to send, or to take what it is sent.
    void peer_waited_for(pith::Micros now = pith::mono_now());
    /// The peer has sent or taken so much.
    void peer_moved(std::size_t bytes, pith::Micros now = pith::mono_now());
    /// The peer isn't waited for: the connection is left alone.
    void peer_done() { waits_ = false; }
    /// How far the peer is behind; 0 while it isn't waited for.
    pith::Micros lag(pith::Micros now) const;
    /// Its peer is so far behind that it may be made to go.
    bool lags(pith::Micros now) const { return lag(now) >= kLagAllowed; }
    void evict();

  private:
    friend class Holders;

    Holders& all_;
    std::function<void()> let_go_;
    std::size_t held_ = 0;
    pith::Micros since_ = 0;
    bool waits_ = false, admitted_ = false, evicted_ = false;
};

/// Bytes taken for as long as the object lives.
class Charge {
  public:
    Charge() = default;
    Charge(Source& source, std::size_t amount)
        : source_(source.take(amount) ? &source : nullptr), amount_(amount) {}
    ~Charge() {
        if (source_ != nullptr) source_->give(amount_);
    }
    Charge(const Charge&) = delete;
    Charge& operator=(const Charge&) = delete;
    /// False: there was no room.
    explicit operator bool() const { return source_ != nullptr; }

  private:
    Source* source_ = nullptr;
    std::size_t amount_ = 0;
};

/// The connections of one port that one thread serves.
class Holders {
  public:
    /// It may use one of so many parts of the share's bytes and connections.
    Holders(Share& share, std::size_t parts_of_bytes, std::size_t parts_of_connections);
    Holders(const Holders&) = delete;
    Holders& operator=(const Holders&) = delete;

    const Account& bytes() const { return bytes_; }
    const Account& connections() const { return connections_; }
    /// Connections that had to go.
    std::size_t evicted() const { return evicted_; }

  private:
    friend class Holder;
    bool take_bytes(Holder& asking, std::size_t amount);
    bool take_connection(const Holder& asking);
    bool evict_one(const Holder& asking);

    Account bytes_, connections_;
    boost::intrusive::list<Holder, boost::intrusive::constant_time_size<false>> list_;
    std::atomic<std::size_t> evicted_{0};
};

}  // namespace budget
