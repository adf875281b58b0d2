#pragma once
// The micro-kernel: services find each other by name (docs/design.md 2.1).
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pith {

class Service {
  public:
    virtual ~Service() = default;
    virtual void start() {}
    virtual void stop() {}
};

class Kernel {
  public:
    void add(const std::string& name, std::shared_ptr<Service> s);
    void start();  // in the order added
    void stop();   // in the reverse order

    // Null where there is none of that name and type.
    template <class T>
    std::shared_ptr<T> find(const std::string& name) const {
        auto i = by_name_.find(name);
        return i == by_name_.end() ? nullptr : std::dynamic_pointer_cast<T>(i->second);
    }

  private:
    std::map<std::string, std::shared_ptr<Service>> by_name_;
    std::vector<std::shared_ptr<Service>> order_;
    std::size_t started_ = 0;
};

}  // namespace pith
