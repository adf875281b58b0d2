#pragma once
/// Whether the caller of a request still waits for its answer, and what ends where it does not
/// (docs/design.md 7.9).
///
/// Each step of a request that waits for something registers how its wait is ended. All calls come from the
/// thread of the worker that serves the caller.
#include <array>
#include <cstddef>
#include <functional>
#include <utility>

namespace span {

/// The step of a request at which its caller was found to have left.
enum class CallerStep { queue, line, connect, before_send, answer };
constexpr std::array<const char*, 5> kCallerSteps{"queue", "line", "connect", "before_send", "answer"};

class CallerPresence {
  public:
    /// `noticed` is called once, with the step at which the caller was found to have left.
    explicit CallerPresence(std::function<void(CallerStep)> noticed) : noticed_(std::move(noticed)) {}
    CallerPresence(const CallerPresence&) = delete;
    CallerPresence& operator=(const CallerPresence&) = delete;

    bool left() const { return left_; }
    void leave() {
        if (left_) return;
        left_ = true;
        noticed_(step_);
        if (end_wait_) end_wait_();
    }

    /// A step in progress, for as long as the object lives. `end_wait`: ends what the step waits for; none:
    /// the step goes on without its caller.
    class Step {
      public:
        Step(CallerPresence& presence, CallerStep step, std::function<void()> end_wait = nullptr)
            : presence_(presence) {
            presence_.step_ = step;
            presence_.end_wait_ = std::move(end_wait);
        }
        ~Step() { presence_.end_wait_ = nullptr; }
        Step(const Step&) = delete;
        Step& operator=(const Step&) = delete;

      private:
        CallerPresence& presence_;
    };

  private:
    std::function<void(CallerStep)> noticed_;
    std::function<void()> end_wait_;
    CallerStep step_ = CallerStep::queue;
    bool left_ = false;
};

}  // namespace span
