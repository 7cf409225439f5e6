#include "LibRouting/quarantine_table.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <vector>

#include "LibCore/message.h"
#include "LibCore/random_source.h"
#include "LibRouting/isolation_order.h"

namespace wasabi::routing {
namespace {

using core::seconds;

constexpr core::TimePoint kStart{std::chrono::hours(1)};
constexpr uint64_t kCrashingDigest = 666;

struct Step {
  // True for a crash with `digests` in flight, false for a completion of the
  // single digest.
  bool is_crash;
  std::vector<uint64_t> digests;
};

struct QuarantineRow {
  const char* name;
  std::vector<Step> steps;
  std::map<uint64_t, QuarantineVerdict> expected;
};

constexpr auto kClear = QuarantineVerdict::kClear;
constexpr auto kRunAlone = QuarantineVerdict::kRunAlone;
constexpr auto kRefuse = QuarantineVerdict::kRefuse;

TEST_CASE("verdicts after crashes and completions") {
  const auto row = GENERATE(values<QuarantineRow>(
      {{"one crash", {{true, {1, 2}}}, {{1, kRunAlone}, {3, kClear}}},
       {"the second crash alone",
        {{true, {1, 2}}, {true, {1}}},
        {{1, kRefuse}, {2, kRunAlone}}},
       {"alone at the first crash", {{true, {1}}}, {{1, kRunAlone}}},
       {"two crashes in company",
        {{true, {1, 2}}, {true, {1, 3}}},
        {{1, kRefuse}, {2, kRunAlone}, {3, kRunAlone}}},
       {"a completion clears a bystander",
        {{true, {1, 2}}, {false, {2}}},
        {{1, kRunAlone}, {2, kClear}}},
       {"a bystander of two crashes is cleared by a completion",
        {{true, {1, 2}}, {true, {3, 2}}, {false, {2}}},
        {{1, kRunAlone}, {2, kClear}, {3, kRunAlone}}},
       {"a completion before the crash clears nothing",
        {{false, {1}}, {true, {1, 2}}},
        {{1, kRunAlone}}}}));
  CAPTURE(row.name);
  QuarantineTable table;
  uint64_t crash_id = 0;
  for (const Step& it : row.steps) {
    if (it.is_crash) {
      table.RecordCrash(++crash_id, it.digests, kStart);
    } else {
      table.RecordCompletion(it.digests.front());
    }
  }
  for (const auto& [digest, verdict] : row.expected) {
    CAPTURE(digest);
    CHECK(table.VerdictFor(digest, kStart) == verdict);
  }
}

TEST_CASE("a quarantine expires after the time that RetryAfter returned") {
  QuarantineTable table;
  table.RecordCrash(1, {kCrashingDigest, 2}, kStart);
  table.RecordCrash(2, {kCrashingDigest}, kStart + seconds(100));
  const core::TimePoint now = kStart + seconds(200);
  const core::Duration wait = table.RetryAfter(kCrashingDigest, now);
  CHECK(wait == seconds(400));
  CHECK(table.VerdictFor(kCrashingDigest, now + wait - seconds(1)) == kRefuse);
  CHECK(table.VerdictFor(kCrashingDigest, now + wait) == kRunAlone);
  table.Expire(now + seconds(600));
  CHECK(table.crash_count() == 0);
}

TEST_CASE("the number of crashes in the table is bounded") {
  QuarantineTable table({.lifetime = seconds(600), .max_crashes = 10});
  for (uint64_t i = 0; i < 100; ++i) {
    table.RecordCrash(i, {i, i + 1}, kStart + seconds(static_cast<int>(i)));
  }
  CHECK(table.crash_count() == 10);
  CHECK(table.VerdictFor(50, kStart + seconds(100)) == kClear);
  CHECK(table.VerdictFor(99, kStart + seconds(100)) == kRefuse);
}

TEST_CASE("tables converge if gossip is reordered and repeated") {
  for (uint64_t seed = 0; seed < 1000; ++seed) {
    CAPTURE(seed);
    core::RandomSource random(seed);
    std::vector<QuarantineTable> tables(4);
    std::vector<QuarantineDelta> sent;
    for (int i = 0; i < 30; ++i) {
      QuarantineTable& table = tables[random.Below(tables.size())];
      if (random.Below(2) == 0) {
        table.RecordCrash(random.Below(6), {random.Below(8), random.Below(8)},
                          kStart);
      } else {
        table.RecordCompletion(random.Below(8));
      }
      sent.push_back(table.TakeDelta(kStart));
      if (random.Below(3) == 0) {
        tables[random.Below(tables.size())].Merge(
            sent[random.Below(sent.size())], kStart);
      }
    }
    for (QuarantineTable& table : tables) {
      sent.push_back(table.Snapshot(kStart));
    }
    for (QuarantineTable& table : tables) {
      for (size_t i = 0; i < sent.size(); ++i) {
        table.Merge(sent[(i + seed) % sent.size()], kStart);
      }
      REQUIRE(table.Snapshot(kStart) == tables.front().Snapshot(kStart));
    }
  }
}

TEST_CASE("a delta is unchanged after encoding and decoding") {
  QuarantineTable table;
  table.RecordCrash(1, {kCrashingDigest, 2}, kStart);
  table.RecordCompletion(2);
  const QuarantineDelta delta = table.TakeDelta(kStart + seconds(1));
  const auto decoded = core::Decode<QuarantineDelta>(core::Encode(delta));
  REQUIRE(decoded.ok());
  CHECK(*decoded == delta);
  CHECK(table.TakeDelta(kStart).crashes.empty());
}

TEST_CASE("suspects with the same digest share a runner in a third of a pool") {
  std::vector<RunnerView> runners(9);
  for (size_t i = 0; i < runners.size(); ++i) {
    runners[i].id = core::RunnerId("runner-" + std::to_string(i));
  }
  std::set<size_t> firsts;
  for (uint64_t digest = 0; digest < 100; ++digest) {
    const std::vector<size_t> order = IsolationOrder(runners, digest);
    CHECK(order == IsolationOrder(runners, digest));
    CHECK(order.size() == runners.size());
    firsts.insert(order.front());
  }
  CHECK(firsts.size() == 3);
  CHECK(IsolationOrder({}, 1).empty());
}

// Simulates a fleet in steps. In each step one endpoint runs the digests that
// the quarantine table admits, either together or one alone. A digest that
// crashes endpoints is resent forever, and harmless digests at least until they
// complete.
class SimulatedFleet {
 public:
  SimulatedFleet(uint64_t seed, uint64_t crashing_digests, bool has_quarantine)
      : random_(seed),
        crashing_digests_(crashing_digests),
        has_quarantine_(has_quarantine) {}

  void RunSteps(int steps) {
    for (int i = 0; i < steps; ++i) {
      RunOneEndpoint();
      now_ += seconds(1);
    }
  }

  int MaxCrashesPerDigest() const {
    int maximum = 0;
    for (const auto& [digest, count] : crash_counts_) {
      maximum = std::max(maximum, count);
    }
    return maximum;
  }
  size_t incomplete_harmless_digests() const {
    return kHarmlessDigests - completed_.size();
  }

 private:
  static constexpr uint64_t kHarmlessDigests = 20;

  bool IsCrashing(uint64_t digest) const { return digest >= kCrashingDigest; }

  uint64_t PickDigest() {
    if (random_.Below(4) == 0) {
      return kCrashingDigest + random_.Below(crashing_digests_);
    }
    return random_.Below(kHarmlessDigests);
  }

  // Returns the digests that one endpoint runs concurrently.
  std::set<uint64_t> PickBatch() {
    std::set<uint64_t> batch;
    for (int i = 0; i < 6; ++i) {
      const uint64_t digest = PickDigest();
      const QuarantineVerdict verdict =
          has_quarantine_ ? table_.VerdictFor(digest, now_) : kClear;
      if (verdict == kRunAlone) {
        return {digest};
      }
      if (verdict == kClear) {
        batch.insert(digest);
      }
    }
    return batch;
  }

  void RunOneEndpoint() {
    const std::set<uint64_t> batch = PickBatch();
    bool has_crashed = false;
    for (const uint64_t it : batch) {
      if (IsCrashing(it)) {
        ++crash_counts_[it];
        has_crashed = true;
      }
    }
    if (has_crashed) {
      table_.RecordCrash(++crash_id_, {batch.begin(), batch.end()}, now_);
      return;
    }
    for (const uint64_t it : batch) {
      completed_.insert(it);
      table_.RecordCompletion(it);
    }
  }

  core::RandomSource random_;
  uint64_t crashing_digests_;
  bool has_quarantine_;
  QuarantineTable table_;
  core::TimePoint now_ = kStart;
  uint64_t crash_id_ = 0;
  std::map<uint64_t, int> crash_counts_;
  std::set<uint64_t> completed_;
};

TEST_CASE("a digest crashes at most two endpoints, and all others complete") {
  for (uint64_t seed = 0; seed < 3000; ++seed) {
    CAPTURE(seed);
    SimulatedFleet fleet(seed, 1 + seed % 3, true);
    fleet.RunSteps(400);
    REQUIRE(fleet.MaxCrashesPerDigest() <= 2);
    REQUIRE(fleet.incomplete_harmless_digests() == 0);
  }
}

TEST_CASE("without quarantine, a digest keeps crashing endpoints") {
  SimulatedFleet fleet(1, 1, false);
  fleet.RunSteps(400);
  CHECK(fleet.MaxCrashesPerDigest() > 100);
}

}  // namespace
}  // namespace wasabi::routing
