// The log service in memory and virtual time, with faults between it and its
// clients.

#ifndef TESTS_SUPPORT_FAKELOG_FAKE_LOG_H_
#define TESTS_SUPPORT_FAKELOG_FAKE_LOG_H_

#include <cstdint>
#include <functional>
#include <list>
#include <string>

#include "LibCore/random_source.h"
#include "LibPlatform/log_client.h"
#include "Tests/Support/FakeLog/virtual_scheduler.h"
#include "Tests/Support/Platform/log_store.h"

namespace wasabi::testing {

// The chances of faults, each from 0 to 1, and the state of the service.
struct FakeLogFaults {
  // An append takes effect, but its answer is lost.
  double lose_answer = 0;
  // An append is lost on its way; its sender can't tell.
  double lose_request = 0;
  // An append reaches the log only after its sender gave up on the answer.
  double delay_request = 0;
  // Reads and appends are refused.
  bool is_outage = false;
  // Reads hide this many of the newest records.
  platform::Offset stale_records = 0;
};

// The service that several FakeLogClients share.
class FakeLog {
 public:
  FakeLog(VirtualScheduler* network, uint64_t seed, size_t retention_records);

  FakeLogFaults& faults() { return faults_; }
  standin::LogStore& store() { return store_; }
  uint64_t appends() const { return appends_; }
  uint64_t reads() const { return reads_; }

 private:
  friend class FakeLogClient;

  // A read that waits; called again after each append to its stream.
  struct WaitingRead {
    std::string stream;
    // Answers if there are records, or if this is the last chance.
    std::function<bool(bool is_last_chance)> try_answer;
  };

  void WakeReaders(const std::string& stream);
  core::Duration NetworkDelay();
  bool Happens(double chance);

  VirtualScheduler* network_;
  core::RandomSource random_;
  standin::LogStore store_;
  FakeLogFaults faults_;
  std::list<WaitingRead> waiting_;
  uint64_t appends_ = 0;
  uint64_t reads_ = 0;
};

// One host's access to the service.
class FakeLogClient : public platform::LogClient {
 public:
  // Answers arrive as tasks of `host`. All must outlive this object.
  FakeLogClient(FakeLog* log, platform::Scheduler* host);

  void Append(const std::string& stream,
              std::string body,
              AppendCallback callback) override;
  void Read(const std::string& stream,
            platform::Offset from,
            core::Duration wait,
            ReadCallback callback) override;
  void Bounds(const std::string& stream, ReadCallback callback) override;

 private:
  void AppendAtLog(const std::string& stream,
                   const std::string& body,
                   const AppendCallback& callback);
  void ReadAtLog(const std::string& stream,
                 platform::Offset from,
                 core::Duration wait,
                 const ReadCallback& callback);
  // Hands `result` to the host after the network's delay.
  template <typename Callback, typename Result>
  void Answer(const Callback& callback, const Result& result);

  FakeLog* log_;
  platform::Scheduler* host_;
};

}  // namespace wasabi::testing

#endif  // TESTS_SUPPORT_FAKELOG_FAKE_LOG_H_
