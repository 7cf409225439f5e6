// Tests several owners of one partition with random sequences of calls and
// faults. Guards against calls that run twice and against outcomes that
// contradict what the endpoint ran.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <set>
#include <string>
#include <vector>

#include "LibCore/random_source.h"
#include "LibCore/result_code.h"
#include "Tests/LibLedger/ledger_simulation.h"

namespace wasabi::ledger {
namespace {

using core::ResultCode;

constexpr size_t kHosts = 3;
constexpr int kKeys = 6;
constexpr int kSteps = 60;
constexpr core::Duration kDeadline = core::seconds(20);

// The kinds of faults that a run may contain.
struct Faults {
  std::string name;
  bool appends = false;
  bool outages = false;
  bool pauses = false;
  bool restarts = false;
  bool endpoint = false;
  bool stale_reads = false;
  // Graceful replacements of a controller, which must not lose outcomes.
  bool replacements = false;

  bool any() const {
    return appends || outages || stale_reads || replacements ||
           can_lose_outcome();
  }
  // Returns true if the faults of the run can make the outcome of a call
  // permanently unknown.
  bool can_lose_outcome() const {
    // Closing a controller times out if a log outage lasts too long.
    const bool can_close_time_out = replacements && outages;
    return pauses || restarts || endpoint || can_close_time_out;
  }
};

// One run: random calls and faults, then a recovery period without faults, then
// a resend of every key on every host.
class Run {
 public:
  Run(const Faults& faults, uint64_t seed)
      : faults_(faults), random_(seed), simulation_(kHosts, seed) {
    if (faults.appends) {
      simulation_.log().faults().lose_answer = 0.2;
      simulation_.log().faults().lose_request = 0.1;
      simulation_.log().faults().delay_request = 0.1;
    }
    if (faults.endpoint) {
      simulation_.endpoint().faults() = {0.2, 0.1, 0.05};
    }
    simulation_.Start();
    for (int i = 0; i < kSteps; ++i) {
      Step();
    }
    Recover();
  }

  LedgerSimulation& world() { return simulation_; }
  // Returns the indices of the resends after the recovery period.
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
          simulation_.Restart(host);
        } else if (faults_.replacements && !paused_.contains(host)) {
          simulation_.Replace(host);
        }
        break;
      case 2:
        ToggleLogFaults();
        break;
      default: {
        const bool has_short_deadline = random_.Below(5) == 0;
        simulation_.Submit(
            host, KeyName(random_.Below(kKeys)),
            has_short_deadline ? core::milliseconds(30) : kDeadline);
      }
    }
    // Most steps are short so that calls and faults overlap; a few are long.
    const bool is_long = random_.Below(6) == 0;
    simulation_.RunFor(core::milliseconds(random_.Below(is_long ? 12000 : 40)));
  }

  void ToggleLogFaults() {
    testing::FakeLogFaults& faults = simulation_.log().faults();
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
      simulation_.Pause(host);
    } else {
      simulation_.Resume(host);
    }
  }

  void Recover() {
    for (const size_t host : paused_) {
      simulation_.Resume(host);
    }
    simulation_.log().faults() = testing::FakeLogFaults();
    simulation_.endpoint().faults() = FakeEndpoint::Faults();
    simulation_.RunFor(core::seconds(120));
    for (int i = 0; i < kKeys; ++i) {
      for (size_t host = 0; host < kHosts; ++host) {
        resends_.push_back(
            simulation_.Submit(host, KeyName(i), core::seconds(60)));
      }
    }
    simulation_.RunFor(core::seconds(120));
  }

  const Faults faults_;
  core::RandomSource random_;
  LedgerSimulation simulation_;
  std::set<size_t> paused_;
  std::vector<size_t> resends_;
};

bool MeansNotRun(ResultCode code) {
  return code == ResultCode::kNotRun || code == ResultCode::kOverloaded ||
         code == ResultCode::kDeadlineTooShort ||
         code == ResultCode::kPlatformUnavailable;
}

// Checks the outcome of one submission against the calls that the endpoint ran.
void CheckSubmission(const LedgerSimulation& world, const Submission& it) {
  CAPTURE(it.key, it.request_id);
  if (!it.outcome) {
    REQUIRE(it.has_host_crashed);
    return;
  }
  const ResultCode code = it.outcome->result_code();
  CAPTURE(code);
  if (MeansNotRun(code)) {
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

// Checks that an outcome other than an answer can be explained by the faults of
// the run.
void CheckAgainstFaults(const Faults& faults, const Submission& it) {
  if (!it.outcome) {
    return;
  }
  const ResultCode code = it.outcome->result_code();
  CAPTURE(it.key, it.request_id, code);
  const bool is_final_unknown =
      code == ResultCode::kOutcomeUnknown && it.outcome->retry_after_ms == 0;
  REQUIRE((faults.can_lose_outcome() || !is_final_unknown));
  if (!faults.any() && it.deadline == kDeadline) {
    // An earlier call with the same key and a short deadline may have timed
    // out, which records kNotRun.
    REQUIRE((code == ResultCode::kOk || code == ResultCode::kNotRun));
  }
}

// Checks that after recovery all hosts return the same final outcome for every
// key.
void CheckResends(const Run& run, const LedgerSimulation& world) {
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

// Returns the number of seeds to run for each kind of faults. The environment
// variable LEDGER_SEEDS overrides the default.
uint64_t SeedCount() {
  constexpr uint64_t kDefaultSeeds = 500;
  const char* text = std::getenv("LEDGER_SEEDS");
  return text == nullptr ? kDefaultSeeds : std::strtoull(text, nullptr, 10);
}

TEST_CASE("random calls and faults never break the guarantees of the ledger") {
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
    LedgerSimulation& world = run.world();
    for (const auto& [key, runs] : world.endpoint().executions()) {
      CAPTURE(key);
      REQUIRE(runs.size() <= 1);
    }
    for (const Submission& it : world.submissions()) {
      CheckSubmission(world, it);
      CheckAgainstFaults(faults, it);
    }
    CheckResends(run, world);
  }
}

}  // namespace
}  // namespace wasabi::ledger
