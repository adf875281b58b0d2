#include "pith/kernel.hpp"

namespace pith {

void Kernel::add(const std::string& name, std::shared_ptr<Service> s) {
    by_name_[name] = s;
    order_.push_back(std::move(s));
}

void Kernel::start() {
    for (; started_ < order_.size(); ++started_) order_[started_]->start();
}

void Kernel::stop() {
    while (started_ > 0) order_[--started_]->stop();
}

}  // namespace pith
