// Benchmark of the ledger. Prints two tables: memory per key and time per
// record when applying a stream, and the append rate and answer time of one
// partition at different loads.

#include <gflags/gflags.h>
#include <malloc.h>

#include <algorithm>

#include <chrono>
#include <cmath>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/random_source.h"
#include "LibCore/text.h"
#include "LibLedger/partition_controller.h"
#include "LibLedger/partition_state.h"
#include "Tests/Support/FakeLog/fake_log.h"
#include "Tests/Support/FakeLog/virtual_scheduler.h"

DEFINE_uint64(result_bytes, 200, "size of each recorded answer in bytes");
DEFINE_uint64(group_keys,
              50,
              "number of keys per group in the table of apply times");
DEFINE_uint64(seconds,
              30,
              "duration of each row of the load table in virtual seconds");

namespace wasabi::ledger {
namespace {

constexpr size_t kRetentionRecords = 1000000;

// Returns a key of 36 characters, the length of the UUIDs that callers use.
std::string KeyName(uint64_t i) {
  return fmt::format("{:08x}-0000-7000-8000-{:012x}", i, i);
}

LedgerRecord MakeRecord(LedgerRecordKind kind, uint64_t i) {
  LedgerRecord record;
  record.kind = kind;
  record.key = {core::OrganisationId("organisation-1"), KeyName(i)};
  record.attempt = i;
  if (kind == LedgerRecordKind::kIntent) {
    record.content_digest = DigestOf("service", "/path", record.key.key);
  } else {
    record.outcome.http_status = 200;
    record.outcome.body = std::string(FLAGS_result_bytes, 'x');
  }
  return record;
}

// Returns the record bodies of a stream with an intent and a kDone for each
// key.
std::vector<std::string> MakeStream(uint64_t keys) {
  std::vector<std::string> bodies;
  uint64_t sequence = 0;
  for (uint64_t first = 0; first < keys; first += FLAGS_group_keys) {
    LedgerGroup group;
    group.stamp = {1, ++sequence};
    const uint64_t last = std::min(keys, first + FLAGS_group_keys);
    for (uint64_t i = first; i < last; ++i) {
      group.records.push_back(MakeRecord(LedgerRecordKind::kIntent, i));
      group.records.push_back(MakeRecord(LedgerRecordKind::kDone, i));
    }
    bodies.push_back(EncodeGroup(group));
  }
  return bodies;
}

size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

void MeasureApply(uint64_t keys) {
  const std::vector<std::string> bodies = MakeStream(keys);
  size_t stream_bytes = 0;
  for (const std::string& body : bodies) {
    stream_bytes += body.size();
  }
  const size_t heap_before = HeapBytes();
  PartitionState state{std::chrono::hours(1)};
  const auto started_at = core::Clock::now();
  for (const std::string& body : bodies) {
    state.Apply(*DecodeGroup(body), started_at,
                [](const LedgerRecord&, RecordEffect) {});
  }
  const core::Duration elapsed = core::Clock::now() - started_at;
  const double heap = static_cast<double>(HeapBytes() - heap_before);
  const auto count = static_cast<double>(keys);
  fmt::print("| {} | {:.0f} | {:.0f} | {:.0f} |\n", keys, heap / count,
             core::ToSeconds(elapsed) * 1e9 / (2 * count),
             static_cast<double>(stream_bytes) / count);
}

// Dispatcher that answers every call after 5 ms.
class FixedDelayDispatcher : public Dispatcher {
 public:
  explicit FixedDelayDispatcher(platform::Scheduler* scheduler)
      : scheduler_(scheduler) {}

  void Dispatch(const LedgerCall& /*call*/,
                uint64_t /*attempt*/,
                core::Duration /*timeout*/,
                Callback callback) override {
    scheduler_->CallAfter(core::milliseconds(5), [callback] {
      callback({DispatchResult::Kind::kAnswered, 200,
                std::string(FLAGS_result_bytes, 'x')});
    });
  }

 private:
  platform::Scheduler* scheduler_;
};

// Sends a constant mean rate of calls to one partition in virtual time and
// measures the appends and the time until the answers.
class LoadRun {
 public:
  explicit LoadRun(double calls_per_second)
      : calls_per_second_(calls_per_second),
        log_(&scheduler_, 1, kRetentionRecords),
        client_(&log_, &scheduler_),
        dispatcher_(&scheduler_) {
    PartitionDependencies dependencies;
    dependencies.log = &client_;
    dependencies.scheduler = &scheduler_;
    dependencies.dispatcher = &dispatcher_;
    dependencies.wall_clock = [] { return 0; };
    PartitionOptions options;
    options.writer = 1;
    controller_ = PartitionController::Create(dependencies, options);
    controller_->Open();
    scheduler_.RunFor(core::seconds(1));
  }

  void Measure() {
    const uint64_t appends_before = log_.appends();
    const auto started_at = core::Clock::now();
    SubmitNext();
    scheduler_.RunFor(core::seconds(FLAGS_seconds));
    is_sending_ = false;
    scheduler_.RunFor(core::seconds(2));
    const core::Duration cpu = core::Clock::now() - started_at;
    const double appends = static_cast<double>(log_.appends() - appends_before);
    const double seconds = static_cast<double>(FLAGS_seconds);
    fmt::print("| {:.0f} | {:.1f} | {:.0f} | {:.0f} | {:.2f} |\n",
               calls_per_second_, appends / seconds,
               wait_ms_ / static_cast<double>(answered_),
               core::ToSeconds(cpu) * 1e6 / static_cast<double>(answered_),
               static_cast<double>(answered_) / static_cast<double>(sent_));
  }

 private:
  void SubmitNext() {
    if (!is_sending_) {
      return;
    }
    LedgerCall call;
    call.organisation = core::OrganisationId("organisation-1");
    call.key = KeyName(sent_++);
    call.content_digest = DigestOf("service", "/path", call.key);
    call.deadline_ms = core::ToMilliseconds(core::seconds(20));
    const core::TimePoint sent_at = scheduler_.Now();
    controller_->Submit(call, [this, sent_at](const LedgerOutcome& outcome) {
      answered_ += outcome.result_code() == core::ResultCode::kOk ? 1 : 0;
      wait_ms_ += core::ToSeconds(scheduler_.Now() - sent_at) * 1e3;
    });
    // Exponentially distributed gaps give Poisson arrivals.
    const double gap = -std::log(1.0 - random_.Unit()) / calls_per_second_;
    scheduler_.CallAfter(core::FromSeconds(gap), [this] { SubmitNext(); });
  }

  const double calls_per_second_;
  testing::VirtualScheduler scheduler_;
  testing::FakeLog log_;
  testing::FakeLogClient client_;
  FixedDelayDispatcher dispatcher_;
  core::RandomSource random_{1};
  std::shared_ptr<PartitionController> controller_;
  bool is_sending_ = true;
  uint64_t sent_ = 0;
  uint64_t answered_ = 0;
  double wait_ms_ = 0;
};

void Run() {
  fmt::print(
      "| keys | heap bytes per key | fold ns per record | stream bytes per key "
      "|\n| --- | --- | --- | --- |\n");
  for (const uint64_t keys : {1000, 10000, 100000, 200000}) {
    MeasureApply(keys);
  }
  fmt::print(
      "\n| calls/s | appends/s | mean wait ms | CPU us per call | answered "
      "|\n| --- | --- | --- | --- | --- |\n");
  for (const double rate : {1.0, 10.0, 100.0, 1000.0, 2000.0}) {
    LoadRun(rate).Measure();
  }
}

}  // namespace
}  // namespace wasabi::ledger

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "measures the memory, apply time and append rate of a ledger partition");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  wasabi::ledger::Run();
  return 0;
}
