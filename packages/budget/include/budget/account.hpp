#pragma once
/// What is held against a limit: bytes, or connections (docs/design.md 7.10).
#include <atomic>
#include <cstddef>

namespace budget {

/// Something that bytes are taken from before they are held, and given back to afterwards.
class Source {
  public:
    virtual ~Source() = default;
    /// False: there is no room, and nothing was taken.
    virtual bool take(std::size_t amount) = 0;
    virtual void give(std::size_t amount) = 0;
};

/// Counts what is taken; never more than its limit, nor than the limit of the account that it is a part of.
/// Thread-safe.
class Account : public Source {
  public:
    explicit Account(std::size_t limit, Account* whole = nullptr) : limit_(limit), whole_(whole) {}
    Account(const Account&) = delete;
    Account& operator=(const Account&) = delete;

    bool take(std::size_t amount) override { return take_below(limit_, amount); }
    /// The same, where afterwards at most `most` are to be held here.
    bool take_below(std::size_t most, std::size_t amount);
    void give(std::size_t amount) override;

    std::size_t limit() const { return limit_; }
    std::size_t held() const { return held_; }
    /// Most that was held at one time.
    std::size_t peak() const { return peak_; }

  private:
    void note_peak(std::size_t held);

    const std::size_t limit_;
    Account* const whole_;
    std::atomic<std::size_t> held_{0}, peak_{0};
};

}  // namespace budget
