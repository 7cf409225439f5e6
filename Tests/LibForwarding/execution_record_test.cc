// A promise that a request has not run stays true, in every order of grants,
// sends, answers, timers, cancellations and stops.

#include "LibForwarding/execution_record.h"

#include <catch2/catch.hpp>
#include <iterator>
#include <vector>

#include "LibCore/random_source.h"

namespace wasabi::forwarding {
namespace {

enum class Step : uint8_t {
  // An endpoint is granted; the connection is not open yet.
  kGrant,
  // The connection is open, so that the request can be sent.
  kSend,
  // An endpoint refuses the request, or an attempt ends in another way.
  kRefuse,
  kAnswer,
  // The attempt is dropped without an outcome.
  kCancel,
  // The deadline passes, or the host stops: the caller gets a promise if there
  // can be one.
  kTimer,
  kStop,
};

// Timers and stops end a request, so they are drawn more rarely.
constexpr Step kDraws[] = {
    Step::kGrant,  Step::kGrant,  Step::kGrant,  Step::kSend,   Step::kSend,
    Step::kSend,   Step::kRefuse, Step::kRefuse, Step::kRefuse, Step::kAnswer,
    Step::kCancel, Step::kTimer,  Step::kStop,
};

// Plays the steps of one request, and knows what its endpoints did.
class Replay {
 public:
  Replay(bool may_repeat, uint64_t seed)
      : may_repeat_(may_repeat), random_(seed), record_(may_repeat) {}

  void Run(size_t steps) {
    for (size_t i = 0; i < steps; ++i) {
      const ExecutionState before = record_.state();
      Play(kDraws[random_.Below(std::size(kDraws))]);
      CheckState(before);
    }
  }

  size_t promises() const { return promises_; }
  size_t sends() const { return sends_; }

 private:
  void Play(Step step) {
    switch (step) {
      case Step::kGrant:
        ++connecting_;
        return;
      case Step::kSend:
        if (connecting_ > 0) {
          --connecting_;
          Send();
        }
        return;
      case Step::kRefuse:
        if (refusing_ > 0) {
          --refusing_;
          record_.RecordRefusal();
        }
        return;
      case Step::kAnswer:
        if (running_ > 0) {
          --running_;
          record_.RecordUnknown();
        }
        return;
      case Step::kCancel:
        (refusing_ > 0 ? refusing_ : running_) = 0;
        return;
      case Step::kTimer:
      case Step::kStop:
        if (record_.PromiseNotRun()) {
          ++promises_;
        }
        return;
    }
  }

  void Send() {
    if (!record_.BeginSend()) {
      return;
    }
    ++sends_;
    CHECK(promises_ == 0);
    if (random_.Below(2) == 0) {
      ++refusing_;
      return;
    }
    ++running_;
    ++runs_;
    CHECK((may_repeat_ || runs_ == 1));
  }

  void CheckState(ExecutionState before) const {
    if (before == ExecutionState::kUnknown) {
      CHECK(record_.state() == ExecutionState::kUnknown);
    }
    if (before != ExecutionState::kNeverSent) {
      CHECK(record_.state() != ExecutionState::kNeverSent);
    }
    if (promises_ > 0) {
      CHECK(runs_ == 0);
      CHECK_FALSE(record_.MayHaveRun());
    }
    if (runs_ > 0) {
      CHECK(record_.MayHaveRun());
    }
  }

  const bool may_repeat_;
  core::RandomSource random_;
  ExecutionRecord record_;
  // Attempts by what they do, and what has happened so far.
  size_t connecting_ = 0;
  size_t refusing_ = 0;
  size_t running_ = 0;
  size_t runs_ = 0;
  size_t sends_ = 0;
  size_t promises_ = 0;
};

TEST_CASE("a promise that a request has not run stays true in any order") {
  constexpr uint64_t kSeeds = 5000;
  constexpr size_t kSteps = 24;
  for (const bool may_repeat : {false, true}) {
    size_t promises = 0;
    size_t sends = 0;
    for (uint64_t seed = 0; seed < kSeeds; ++seed) {
      Replay replay(may_repeat, seed);
      replay.Run(kSteps);
      promises += replay.promises();
      sends += replay.sends();
    }
    CHECK(promises > kSeeds);
    CHECK(sends > kSeeds / 4);
  }
}

struct StateCase {
  const char* what;
  std::vector<Step> steps;
  ExecutionState state;
  bool can_promise;
  // Of a request that may run once.
  bool can_send;
};

TEST_CASE("the state of a request follows from its sends") {
  using enum Step;
  using enum ExecutionState;
  const StateCase cases[] = {
      {"new", {}, kNeverSent, true, true},
      {"sent", {kSend}, ExecutionState::kSent, false, false},
      {"refused", {kSend, kRefuse}, kRefused, true, true},
      {"refused, sent again",
       {kSend, kRefuse, kSend},
       ExecutionState::kSent,
       false,
       false},
      {"refused twice", {kSend, kRefuse, kSend, kRefuse}, kRefused, true, true},
      {"answered", {kSend, kAnswer}, kUnknown, false, false},
      {"answered, then refused",
       {kSend, kAnswer, kRefuse},
       kUnknown,
       false,
       false},
      {"refused, then cut",
       {kSend, kRefuse, kSend, kAnswer},
       kUnknown,
       false,
       false},
      {"a refusal without a send", {kRefuse}, kNeverSent, true, true},
      {"an end without a send", {kAnswer}, kNeverSent, true, true},
  };
  for (const StateCase& row : cases) {
    INFO(row.what);
    ExecutionRecord record(false);
    for (const Step step : row.steps) {
      if (step == kSend) {
        REQUIRE(record.BeginSend());
      } else if (step == kRefuse) {
        record.RecordRefusal();
      } else {
        record.RecordUnknown();
      }
    }
    CHECK(record.state() == row.state);
    ExecutionRecord sent_again = record;
    CHECK(sent_again.BeginSend() == row.can_send);
    CHECK(record.PromiseNotRun().has_value() == row.can_promise);
    CHECK_FALSE((row.can_promise && record.BeginSend()));
  }
}

}  // namespace
}  // namespace wasabi::forwarding
