// Random orders of calls and faults on several owners of one partition.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <set>
#include <string>
#include <vector>

#include "LibCore/random_source.h"
#include "LibCore/result_code.h"
#include "Tests/LibLedger/ledger_world.h"

namespace wasabi::ledger {
namespace {

using core::ResultCode;

constexpr size_t kHosts = 3;
constexpr int kKeys = 6;
constexpr int kSteps = 60;
constexpr core::Duration kDeadline = core::seconds(20);

// Which faults a run may contain.
struct Faults {
  std::string name;
  bool appends = false;
  bool outages = false;
  bool pauses = false;
  bool restarts = false;
  bool endpoint = false;
  bool stale_reads = false;
  // Planned stops, which are to hide nothing.
  bool replacements = false;

  bool any() const {
    return appends || outages || stale_reads || replacements ||
           explains_unknown();
  }
  // Whether a fault of the run can hide the end of a call for good.
  bool explains_unknown() const {
    // A planned stop waits only for so long for the end of an outage.
    const bool is_stop_cut_short = replacements && outages;
    return pauses || restarts || endpoint || is_stop_cut_short;
  }
};

// One run: random calls and faults, then healing, then a resend of every key.
class Run {
 public:
  Run(const Faults& faults, uint64_t seed)
      : faults_(faults), random_(seed), world_(kHosts, seed) {
    if (faults.appends) {
      world_.log().faults().lose_answer = 0.2;
      world_.log().faults().lose_request = 0.1;
      world_.log().faults().delay_request = 0.1;
    }
    if (faults.endpoint) {
      world_.endpoint().faults() = {0.2, 0.1, 0.05};
    }
    world_.Start();
    for (int i = 0; i < kSteps; ++i) {
      Step();
    }
    Heal();
  }

  LedgerWorld& world() { return world_; }
  // Indices of the resends after the healing.
  const std::vector<size_t>& resends() const { return resends_; }

 private:
  static std::string KeyName(uint64_t i) { return "key-" + std::to_string(i); }

  void Step() {
    const size_t host = random_.Below(kHosts);
    switch (random_.Below(8)) {
      case 0:
        TogglePause(host);
        break;
      case 1:
        if (faults_.restarts && !paused_.contains(host)) {
          world_.Restart(host);
        } else if (faults_.replacements && !paused_.contains(host)) {
          world_.Replace(host);
        }
        break;
      case 2:
        ToggleLogFaults();
        break;
      default: {
        const bool is_hasty = random_.Below(5) == 0;
        world_.Submit(host, KeyName(random_.Below(kKeys)),
                      is_hasty ? core::milliseconds(30) : kDeadline);
      }
    }
    // Mostly short steps, so that calls and faults meet, and a few long ones.
    const bool is_long = random_.Below(6) == 0;
    world_.RunFor(core::milliseconds(random_.Below(is_long ? 12000 : 40)));
  }

  void ToggleLogFaults() {
    testing::FakeLogFaults& faults = world_.log().faults();
    if (faults_.outages) {
      faults.is_outage = !faults.is_outage;
    }
    if (faults_.stale_reads) {
      faults.stale_records = static_cast<platform::Offset>(random_.Below(3));
    }
  }

  void TogglePause(size_t host) {
    if (!faults_.pauses) {
      return;
    }
    if (paused_.erase(host) == 0) {
      paused_.insert(host);
      world_.Pause(host);
    } else {
      world_.Resume(host);
    }
  }

  void Heal() {
    for (const size_t host : paused_) {
      world_.Resume(host);
    }
    world_.log().faults() = testing::FakeLogFaults();
    world_.endpoint().faults() = FakeEndpoint::Faults();
    world_.RunFor(core::seconds(120));
    for (int i = 0; i < kKeys; ++i) {
      for (size_t host = 0; host < kHosts; ++host) {
        resends_.push_back(world_.Submit(host, KeyName(i), core::seconds(60)));
      }
    }
    world_.RunFor(core::seconds(120));
  }

  const Faults faults_;
  core::RandomSource random_;
  LedgerWorld world_;
  std::set<size_t> paused_;
  std::vector<size_t> resends_;
};

bool SaysNotRun(ResultCode code) {
  return code == ResultCode::kNotRun || code == ResultCode::kOverloaded ||
         code == ResultCode::kDeadlineTooShort ||
         code == ResultCode::kPlatformUnavailable;
}

// Checks what one caller was told against what the endpoint ran.
void CheckSubmission(const LedgerWorld& world, const Submission& it) {
  CAPTURE(it.key, it.request_id);
  if (!it.outcome) {
    REQUIRE(it.is_host_lost);
    return;
  }
  const ResultCode code = it.outcome->result_code();
  CAPTURE(code);
  if (SaysNotRun(code)) {
    const auto runs = world.Executions(it.key);
    REQUIRE(std::find(runs.begin(), runs.end(), it.request_id) == runs.end());
  }
  if (code == ResultCode::kNotRun) {
    REQUIRE(world.ExecutionsOf(it.key) == 0);
  }
  if (code == ResultCode::kOk) {
    REQUIRE(world.ExecutionsOf(it.key) == 1);
    REQUIRE(it.outcome->body == AnswerBody(it.key));
  }
}

// Checks that the outcome is no worse than the faults of the run explain.
void CheckExplained(const Faults& faults, const Submission& it) {
  if (!it.outcome) {
    return;
  }
  const ResultCode code = it.outcome->result_code();
  CAPTURE(it.key, it.request_id, code);
  const bool is_final_unknown =
      code == ResultCode::kOutcomeUnknown && it.outcome->retry_after_ms == 0;
  REQUIRE((faults.explains_unknown() || !is_final_unknown));
  if (!faults.any() && it.deadline == kDeadline) {
    // A hasty call of the same key may have been given up before.
    REQUIRE((code == ResultCode::kOk || code == ResultCode::kNotRun));
  }
}

// Checks that all hosts agree about the outcome of every key in the end.
void CheckResends(const Run& run, const LedgerWorld& world) {
  for (size_t i = 0; i < run.resends().size(); i += kHosts) {
    const Submission& first = world.submissions()[run.resends()[i]];
    CAPTURE(first.key);
    REQUIRE(first.outcome);
    REQUIRE(first.outcome->retry_after_ms == 0);
    for (size_t host = 1; host < kHosts; ++host) {
      const Submission& other = world.submissions()[run.resends()[i + host]];
      CAPTURE(host, first.outcome->code, other.outcome->code,
              other.outcome->retry_after_ms);
      REQUIRE(other.outcome == first.outcome);
    }
  }
}

// Seeds of one table row; LEDGER_SEEDS in the environment asks for more.
uint64_t SeedCount() {
  constexpr uint64_t kDefaultSeeds = 500;
  const char* text = std::getenv("LEDGER_SEEDS");
  return text == nullptr ? kDefaultSeeds : std::strtoull(text, nullptr, 10);
}

TEST_CASE("no order of calls and faults breaks a promise of the ledger") {
  const auto faults = GENERATE(values<Faults>({
      {.name = "none"},
      {.name = "appends", .appends = true},
      {.name = "outages", .outages = true},
      {.name = "pauses", .pauses = true},
      {.name = "restarts", .restarts = true},
      {.name = "endpoint", .endpoint = true},
      {.name = "stale reads", .stale_reads = true},
      {.name = "replacements", .replacements = true},
      {.name = "replacements in outages",
       .outages = true,
       .replacements = true},
      {.name = "all",
       .appends = true,
       .outages = true,
       .pauses = true,
       .restarts = true,
       .endpoint = true,
       .stale_reads = true},
  }));
  CAPTURE(faults.name);
  for (uint64_t seed = 0; seed < SeedCount(); ++seed) {
    CAPTURE(seed);
    Run run(faults, seed);
    LedgerWorld& world = run.world();
    for (const auto& [key, runs] : world.endpoint().executions()) {
      CAPTURE(key);
      REQUIRE(runs.size() <= 1);
    }
    for (const Submission& it : world.submissions()) {
      CheckSubmission(world, it);
      CheckExplained(faults, it);
    }
    CheckResends(run, world);
  }
}

}  // namespace
}  // namespace wasabi::ledger
