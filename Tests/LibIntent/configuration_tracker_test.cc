// Randomized test with thousands of seeds: daemons confirm plans, retry
// appends, read stale pages and restart while the log is truncated. All of them
// must end with the same state, and no update may be lost.

#include "LibIntent/configuration_tracker.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "LibCore/random_source.h"
#include "LibCore/text.h"
#include "Tests/LibIntent/fake_log.h"
#include "Tests/LibIntent/record_builder.h"

namespace wasabi::intent {
namespace {

constexpr int kSeeds = 2000;
constexpr int kDaemons = 4;
constexpr int kStepsPerSeed = 60;
constexpr int kItems = 3;

ItemKey ItemOf(uint64_t n) {
  return ItemKey::ForDrain(fmt::format("runner-{}", n));
}

std::string SnapshotRecordOf(const ConfigurationFold& fold, int64_t sequence) {
  return EncodeRecord(SnapshotRecord{{"daemon", sequence}, fold.Snapshot()});
}

// Simulates several daemons that read from and append to one log.
class Fleet {
 public:
  explicit Fleet(uint64_t seed) : random_(seed), trackers_(kDaemons) {}

  void Run() {
    for (int i = 0; i < kStepsPerSeed; ++i) {
      Step();
    }
    // Daemons that can't find a snapshot load the state of a peer.
    for (ConfigurationTracker& tracker : trackers_) {
      ReadToEnd(&tracker);
    }
    const auto newest = std::max_element(
        trackers_.begin(), trackers_.end(),
        [](const ConfigurationTracker& a, const ConfigurationTracker& b) {
          return a.fold().revision() < b.fold().revision();
        });
    for (ConfigurationTracker& tracker : trackers_) {
      REQUIRE(tracker.Load(newest->fold().Snapshot()).ok());
    }
  }

  void CheckAgreement() const {
    const ConfigurationFold oracle = FoldOfWholeLog();
    for (const ConfigurationTracker& tracker : trackers_) {
      CHECK(tracker.fold().revision() == log_.end() - 1);
      CHECK(tracker.fold().Snapshot() == oracle.Snapshot());
    }
    CheckNoLostUpdate(oracle);
  }

 private:
  struct ConfirmedPlan {
    std::string body;
    ItemKey item;
    int64_t base = -1;
  };

  ConfigurationTracker& RandomTracker() {
    return trackers_[random_.Below(kDaemons)];
  }

  void Step() {
    switch (random_.Below(10)) {
      case 0:
      case 1:
      case 2:
        ConfirmPlan();
        break;
      case 3:
        RetryEarlierAppend();
        break;
      case 4:
        log_.Append(random_.Below(2) == 0 ? "broken" : R"({"kind":"change"})");
        break;
      case 5:
        AppendSnapshot();
        break;
      case 6:
        TruncateLog();
        break;
      case 7:
        Restart();
        break;
      default:
        ReadSome(&RandomTracker());
        break;
    }
  }

  void ConfirmPlan() {
    const ConfigurationFold& seen = RandomTracker().fold();
    const ItemKey item = ItemOf(random_.Below(kItems));
    const std::string plan_id = fmt::format("plan-{}", confirmed_.size());
    ItemValue value;
    if (random_.Below(3) > 0) {
      value = DrainEntry();
    }
    const std::string body =
        RecordBuilder(plan_id).Set(seen, item, value).Build();
    confirmed_.push_back({body, item, seen.RevisionOf(item)});
    log_.Append(body);
  }

  // Simulates a writer that retries an append whose response was lost. The
  // retry may come much later.
  void RetryEarlierAppend() {
    if (!confirmed_.empty()) {
      log_.Append(confirmed_[random_.Below(confirmed_.size())].body);
    }
  }

  void AppendSnapshot() {
    const ConfigurationFold& fold = RandomTracker().fold();
    if (fold.revision() >= 0) {
      log_.Append(SnapshotRecordOf(fold, ++snapshots_));
    }
  }

  void TruncateLog() {
    // One daemon always holds the newest state: the fleet as a whole can't
    // recover if both the log and all daemons have lost it.
    ReadToEnd(trackers_.data());
    if (trackers_.front().fold().revision() == log_.end() - 1) {
      log_.TrimBefore(log_.first_retained() +
                      static_cast<int64_t>(random_.Below(8)));
    }
  }

  void Restart() {
    // The first daemon represents the peers that never restart.
    trackers_[1 + random_.Below(kDaemons - 1)] = ConfigurationTracker();
  }

  void ReadSome(ConfigurationTracker* tracker) {
    const auto lag = static_cast<int64_t>(random_.Below(4));
    const auto limit = static_cast<int64_t>(1 + random_.Below(5));
    ReadOnce(tracker, log_.end() - lag, limit);
  }

  void ReadToEnd(ConfigurationTracker* tracker) {
    constexpr int kMaxReads = 10;
    for (int i = 0; i < kMaxReads; ++i) {
      ReadOnce(tracker, log_.end(), log_.end());
    }
    REQUIRE(tracker->next_offset() == log_.end());
  }

  void ReadOnce(ConfigurationTracker* tracker, int64_t end, int64_t limit) {
    const int64_t before = tracker->fold().revision();
    if (tracker->next_offset() < log_.first_retained()) {
      tracker->OnRecordsTruncated(log_.first_retained());
    }
    const PageReport report =
        tracker->OnPage(log_.Read(tracker->next_offset(), end, limit));
    CHECK(tracker->fold().revision() >= before);
    CHECK(report.has_advanced == (tracker->fold().revision() > before));
  }

  ConfigurationFold FoldOfWholeLog() const {
    ConfigurationFold fold;
    for (int64_t at = 0; at < log_.end(); ++at) {
      fold.Apply({at, log_.body(at)});
    }
    return fold;
  }

  // Checks that at most one of the plans based on the same revision of an item
  // was applied.
  void CheckNoLostUpdate(const ConfigurationFold& oracle) const {
    std::map<std::pair<ItemKey, int64_t>, int> applied;
    for (size_t i = 0; i < confirmed_.size(); ++i) {
      const auto outcome = oracle.OutcomeOf(fmt::format("plan-{}", i));
      REQUIRE(outcome.has_value());
      if (outcome->is_applied) {
        const ConfirmedPlan& it = confirmed_[i];
        ++applied[std::pair(it.item, it.base)];
      }
    }
    for (const auto& [base, count] : applied) {
      CHECK(count == 1);
    }
  }

  core::RandomSource random_;
  FakeLog log_;
  std::vector<ConfigurationTracker> trackers_;
  std::vector<ConfirmedPlan> confirmed_;
  int64_t snapshots_ = 0;
};

TEST_CASE("all daemons reach the same state under random events") {
  for (uint64_t seed = 0; seed < kSeeds; ++seed) {
    CAPTURE(seed);
    Fleet fleet(seed);
    fleet.Run();
    fleet.CheckAgreement();
  }
}

// Returns a log of `changes` records, each of which drains another runner.
FakeLog MakeLog(int changes) {
  FakeLog log;
  ConfigurationFold fold;
  for (int i = 0; i < changes; ++i) {
    const std::string body = RecordBuilder(fmt::format("plan-{}", i))
                                 .Set(fold, ItemOf(i), DrainEntry())
                                 .Build();
    fold.Apply({log.Append(body), body});
  }
  return log;
}

void ReadAll(const FakeLog& log, ConfigurationTracker* tracker) {
  tracker->OnPage(log.Read(tracker->next_offset(), log.end(), log.end()));
}

TEST_CASE(
    "a log end that moves backwards is reported once and changes nothing") {
  const FakeLog log = MakeLog(5);
  ConfigurationTracker tracker;
  ReadAll(log, &tracker);
  const Configuration before = tracker.fold().configuration();
  const FakeLog shorter = MakeLog(2);
  const auto read = [&] {
    return tracker.OnPage(
        shorter.Read(tracker.next_offset(), shorter.end(), shorter.end()));
  };
  CHECK(read().has_gone_backwards);
  CHECK_FALSE(read().has_gone_backwards);
  CHECK(tracker.fold().configuration() == before);
  ReadAll(log, &tracker);
  CHECK(read().has_gone_backwards);
}

TEST_CASE("a daemon starts from a snapshot if the log was truncated") {
  FakeLog log = MakeLog(5);
  ConfigurationTracker up_to_date;
  ReadAll(log, &up_to_date);
  log.Append(SnapshotRecordOf(up_to_date.fold(), 1));
  log.Append("broken");
  ReadAll(log, &up_to_date);
  log.TrimBefore(5);

  ConfigurationTracker restarted;
  restarted.OnRecordsTruncated(log.first_retained());
  CHECK(restarted.is_searching_snapshot());
  ReadAll(log, &restarted);
  CHECK_FALSE(restarted.is_searching_snapshot());
  CHECK(restarted.fold().Snapshot() == up_to_date.fold().Snapshot());
}

TEST_CASE("a snapshot that leaves a gap before the retained log is not used") {
  FakeLog log = MakeLog(5);
  ConfigurationTracker early;
  early.OnPage(log.Read(0, 3, 3));
  log.Append(SnapshotRecordOf(early.fold(), 1));
  log.TrimBefore(4);

  ConfigurationTracker restarted;
  restarted.OnRecordsTruncated(log.first_retained());
  ReadAll(log, &restarted);
  CHECK(restarted.is_searching_snapshot());
  CHECK(restarted.fold().revision() == -1);
}

TEST_CASE("a peer's state is loaded only if it is newer") {
  const FakeLog log = MakeLog(5);
  ConfigurationTracker newer;
  ReadAll(log, &newer);
  ConfigurationTracker older;
  older.OnPage(log.Read(0, 2, 2));
  const std::string old_state = older.fold().Snapshot();
  CHECK(older.Load(newer.fold().Snapshot()).value());
  CHECK_FALSE(newer.Load(old_state).value());
  CHECK(newer.fold().revision() == 4);
  CHECK_FALSE(newer.Load("{").ok());
}

}  // namespace
}  // namespace wasabi::intent
