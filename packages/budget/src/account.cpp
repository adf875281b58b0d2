#include "budget/account.hpp"

namespace budget {

bool Account::take_below(std::size_t most, std::size_t amount) {
    std::size_t held = held_;
    do {
        if (held > most || amount > most - held) return false;
    } while (!held_.compare_exchange_weak(held, held + amount));
    if (whole_ != nullptr && !whole_->take(amount)) {
        held_ -= amount;
        return false;
    }
    note_peak(held + amount);
    return true;
}

void Account::give(std::size_t amount) {
    held_ -= amount;
    if (whole_ != nullptr) whole_->give(amount);
}

void Account::note_peak(std::size_t held) {
    std::size_t peak = peak_;
    while (held > peak && !peak_.compare_exchange_weak(peak, held)) {
    }
}

}  // namespace budget
