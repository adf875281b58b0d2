#pragma once
// The thread that carries out what a control node's disk has to do: a slow sync holds up no heartbeat
// (docs/control.md, "Disk").
#include <boost/asio/io_context.hpp>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

#include "consensus/storage.hpp"
#include "weft/messages.hpp"

namespace span {

class DiskWriter {
  public:
    // Called on the control thread as a save has ended.
    using Done = std::function<void(std::uint64_t token, bool ok)>;

    DiskWriter(consensus::Storage& storage, boost::asio::io_context& io) : storage_(storage), io_(io) {}
    ~DiskWriter() { stop(); }
    DiskWriter(const DiskWriter&) = delete;
    DiskWriter& operator=(const DiskWriter&) = delete;

    void start(Done done);
    void save(consensus::SaveJob job);
    void save_epoch(weft::EpochRec epoch);
    void stop();

  private:
    struct Work {
        consensus::SaveJob job;
        weft::EpochRec epoch;  // where its duty is not empty, this is to be written, not the job
    };
    void run();
    void carry_out(const Work& work);
    void add(Work work);

    consensus::Storage& storage_;
    boost::asio::io_context& io_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<Work> queue_;
    bool end_ = false, failing_ = false;
    Done done_;
    std::thread thread_;
};

}  // namespace span
