#include "disk_writer.hpp"

#include <boost/asio/post.hpp>

#include "pith/log.hpp"
#include "pith/time.hpp"

namespace span {

using pith::Level;
using pith::log_event;

void DiskWriter::start(Done done) {
    done_ = std::move(done);
    thread_ = std::thread([this] { run(); });
}

void DiskWriter::add(Work work) {
    std::lock_guard<std::mutex> lock(mutex_);
    queue_.push_back(std::move(work));
    changed_.notify_one();
}

void DiskWriter::save(consensus::SaveJob job) { add(Work{std::move(job), {}}); }

void DiskWriter::save_epoch(weft::EpochRec epoch) { add(Work{{}, std::move(epoch)}); }

void DiskWriter::stop() {
    {
        std::lock_guard<std::mutex> lock(mutex_);
        end_ = true;
        changed_.notify_one();
    }
    if (thread_.joinable()) thread_.join();
}

void DiskWriter::run() {
    for (;;) {
        Work work;
        {
            std::unique_lock<std::mutex> lock(mutex_);
            changed_.wait(lock, [this] { return end_ || !queue_.empty(); });
            if (queue_.empty()) return;
            work = std::move(queue_.front());
            queue_.pop_front();
        }
        carry_out(work);
    }
}

void DiskWriter::carry_out(const Work& work) {
    if (!work.epoch.duty.empty()) {
        storage_.save_epoch(work.epoch.duty, work.epoch.epoch, work.epoch.holder);
        return;
    }
    const pith::Micros begun = pith::mono_now();
    const auto saved = storage_.save(work.job.state);
    const pith::Micros took = pith::mono_now() - begun;
    if (!saved && !failing_) log_event(Level::error, "disk_failed", {{"why", saved.error().message}});
    if (saved && failing_) log_event(Level::warn, "disk_recovered", {{"took_us", took}});
    if (took > pith::kSecond) log_event(Level::warn, "disk_slow", {{"took_us", took}});
    failing_ = !saved;
    boost::asio::post(io_, [this, token = work.job.token, ok = saved.has_value()] { done_(token, ok); });
}

}  // namespace span
