// An in-memory log service in virtual time. Faults can be injected between the
// service and its clients.

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

// Probabilities of random faults, each in [0, 1], and lasting faults of the
// service.
struct FakeLogFaults {
  // Probability that an append takes effect but its answer is lost.
  double lose_answer = 0;
  // Probability that an append is lost before it reaches the log. To the
  // sender this looks like a lost answer.
  double lose_request = 0;
  // Probability that an append reaches the log only after its sender has
  // timed out.
  double delay_request = 0;
  // Whether reads and appends fail with ResultCode::kPlatformUnavailable.
  bool is_outage = false;
  // Number of newest records that are hidden from reads.
  platform::Offset stale_records = 0;
};

// The log service, shared by several FakeLogClients.
class FakeLog {
 public:
  // `network` schedules the requests on their way to the log and must outlive
  // this object.
  FakeLog(VirtualScheduler* network, uint64_t seed, size_t retention_records);

  FakeLogFaults& faults() { return faults_; }
  standin::LogStore& store() { return store_; }
  uint64_t appends() const { return appends_; }
  uint64_t reads() const { return reads_; }

 private:
  friend class FakeLogClient;

  // A long-polling read, retried after each append to its stream.
  struct WaitingRead {
    std::string stream;
    // Answers the read if there are records, or in any case if
    // `is_last_chance`. Returns true if the read is answered.
    std::function<bool(bool is_last_chance)> try_answer;
  };

  void WakeReaders(const std::string& stream);
  core::Duration NetworkDelay();
  bool DrawWithProbability(double probability);

  VirtualScheduler* network_;
  core::RandomSource random_;
  standin::LogStore store_;
  FakeLogFaults faults_;
  std::list<WaitingRead> waiting_;
  uint64_t appends_ = 0;
  uint64_t reads_ = 0;
};

// The client with which one host accesses a FakeLog.
class FakeLogClient : public platform::LogClient {
 public:
  // Callbacks run as tasks of `host`. Both arguments must outlive this object.
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
  // Calls `callback` with `result` on the host after the network delay.
  template <typename Callback, typename Result>
  void Answer(const Callback& callback, const Result& result);

  FakeLog* log_;
  platform::Scheduler* host_;
};

}  // namespace wasabi::testing

#endif  // TESTS_SUPPORT_FAKELOG_FAKE_LOG_H_
