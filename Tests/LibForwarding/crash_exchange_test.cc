// Simulates, in virtual time, a fleet that shares which requests were in flight
// at endpoints that crashed.

#include "LibForwarding/crash_exchange.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/text.h"

namespace wasabi::forwarding {
namespace {

using core::milliseconds;
using core::seconds;

constexpr size_t kDataCentres = 5;
constexpr size_t kAggregators = 3;

class Fleet {
 public:
  explicit Fleet(size_t hosts) {
    for (size_t i = 0; i < hosts; ++i) {
      ids_.emplace_back(fmt::format("h{}", i));
      tables_.push_back(std::make_unique<CrashSuspects>());
    }
    for (size_t i = 0; i < hosts; ++i) {
      exchanges_.push_back(std::make_unique<CrashExchange>(
          ids_[i], tables_[i].get(),
          [this](const std::vector<core::HostId>& to,
                 membership::ApplicationKind /*kind*/, std::string_view body) {
            for (const core::HostId& it : to) {
              datagrams_.emplace_back(std::stoul(it.value().substr(1)), body);
            }
          }));
      exchanges_.back()->SetPeers(PeersOf(i));
    }
  }

  CrashSuspects& table(size_t i) { return *tables_[i]; }
  core::TimePoint now() const { return now_; }
  size_t datagrams_sent() const { return datagrams_sent_; }

  void RunFor(core::Duration duration) {
    for (const core::TimePoint end = now_ + duration; now_ < end;
         now_ += milliseconds(50)) {
      for (const auto& it : exchanges_) {
        it->Tick(now_);
      }
      datagrams_sent_ += datagrams_.size();
      const auto arriving = std::exchange(datagrams_, {});
      for (const auto& [to, body] : arriving) {
        CHECK(exchanges_[to]->OnReport(body, now_).ok());
      }
    }
  }

 private:
  ReportPeers PeersOf(size_t self) const {
    ReportPeers peers;
    for (size_t i = 0; i < ids_.size(); ++i) {
      const bool is_near = i % kDataCentres == self % kDataCentres;
      if (i != self) {
        peers.fleet.push_back(ids_[i]);
      }
      if (i != self && is_near) {
        peers.data_centre.push_back(ids_[i]);
      }
      if (i / kDataCentres < kAggregators) {
        (is_near ? peers.aggregators : peers.other_aggregators)
            .push_back(ids_[i]);
      }
    }
    return peers;
  }

  std::vector<core::HostId> ids_;
  std::vector<std::unique_ptr<CrashSuspects>> tables_;
  std::vector<std::unique_ptr<CrashExchange>> exchanges_;
  std::vector<std::pair<size_t, std::string>> datagrams_;
  size_t datagrams_sent_ = 0;
  core::TimePoint now_{seconds(10)};
};

RequestFingerprint RequestOf(uint64_t content) {
  return {.content = content, .parts = {}};
}

struct CrashCase {
  size_t hosts;
  // Bound on the datagrams that a host sends on average, for each crash.
  size_t max_datagrams;
};

TEST_CASE("all hosts learn of the requests that were at crashed endpoints") {
  const auto row = GENERATE(values<CrashCase>({{8, 20}, {300, 8}}));
  INFO(row.hosts << " hosts");
  constexpr uint64_t kCrashes = 20;
  constexpr uint64_t kHostsPerCrash = 6;
  Fleet fleet(row.hosts);
  // Each endpoint had requests of several hosts, which all report its crash.
  for (uint64_t crash = 0; crash < kCrashes; ++crash) {
    for (uint64_t n = 0; n < kHostsPerCrash; ++n) {
      const size_t host = (crash * 7 + n * 11) % row.hosts;
      fleet.table(host).RecordCrash(
          crash, {RequestOf(crash * kHostsPerCrash + n)}, fleet.now());
    }
  }
  fleet.RunFor(seconds(2));
  for (size_t i = 0; i < row.hosts; ++i) {
    CHECK(fleet.table(i).crash_count() == kCrashes);
  }
  // A request that crashed one endpoint crashes a second one and is refused.
  fleet.table(0).RecordCrash(kCrashes, {RequestOf(0)}, fleet.now());
  fleet.RunFor(seconds(1));
  for (size_t i = 0; i < row.hosts; ++i) {
    CHECK(fleet.table(i).IsRefused(RequestOf(0), fleet.now()));
    CHECK_FALSE(fleet.table(i).IsRefused(RequestOf(1), fleet.now()));
  }
  CHECK(fleet.datagrams_sent() / row.hosts / kCrashes <= row.max_datagrams);
  // Nothing is sent any more once all know everything.
  const size_t sent = fleet.datagrams_sent();
  fleet.RunFor(seconds(2));
  CHECK(fleet.datagrams_sent() == sent);
}

}  // namespace
}  // namespace wasabi::forwarding
