#include "Utilities/Load/checker.h"

#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

#include "Tests/Support/answer_text.h"

namespace wasabi::load {
namespace {

constexpr uint32_t kAnswerTokens = 12;

ChatOutcome WholeAnswer(const std::string& id) {
  ChatOutcome outcome;
  outcome.request_id = id;
  outcome.ending = Ending::kAnswered;
  outcome.digest = "digest-of-" + id;
  outcome.max_tokens = kAnswerTokens;
  outcome.text = support::AnswerText(outcome.digest, kAnswerTokens);
  return outcome;
}

ServiceOutcome AnsweredCall(const std::string& key) {
  ServiceOutcome outcome;
  outcome.idempotency_key = key;
  outcome.ending = Ending::kAnswered;
  outcome.answered_key = key;
  return outcome;
}

support::Execution ExecutionOf(const std::string& request_id,
                               const std::string& key = "") {
  support::Execution execution;
  execution.request_id = request_id;
  execution.idempotency_key = key;
  return execution;
}

// The records of a run without a violation. Each test case adds one violation.
struct Run {
  std::vector<ChatOutcome> chats = {WholeAnswer("a"), WholeAnswer("b")};
  std::vector<ServiceOutcome> services = {AnsweredCall("k")};
  std::vector<support::Execution> executions = {
      ExecutionOf("a"), ExecutionOf("b"), ExecutionOf("s", "k")};

  CheckResult Check() const { return CheckRun(chats, services, executions); }
};

TEST_CASE("a run without a violation is good") {
  const CheckResult result = Run().Check();
  CHECK(result.HasNoViolations());
  CHECK(result.requests == 3);
  CHECK(result.whole_answers == 3);
  CHECK(result.problems.empty());
}

TEST_CASE("every injected violation is detected") {
  struct Case {
    std::string name;
    std::function<void(Run*)> add_violation;
    uint64_t CheckResult::*counter;
  };
  const auto row = GENERATE(values<Case>({
      {"one wrong byte", [](Run* run) { run->chats[1].text[7] ^= 1; },
       &CheckResult::wrong_answers},
      {"a truncated answer",
       [](Run* run) {
         run->chats[0].text.resize(run->chats[0].text.size() -
                                   support::kBytesPerToken);
       },
       &CheckResult::wrong_answers},
      {"a duplicate token",
       [](Run* run) { run->chats[0].text += run->chats[0].text.substr(0, 4); },
       &CheckResult::wrong_answers},
      {"an empty answer", [](Run* run) { run->chats[0].text.clear(); },
       &CheckResult::wrong_answers},
      {"the answer to another request",
       [](Run* run) { run->chats[0].text = run->chats[1].text; },
       &CheckResult::wrong_answers},
      {"a chunk that names another request",
       [](Run* run) { run->chats[0].foreign_chunks = 1; },
       &CheckResult::wrong_answers},
      {"a request that timed out",
       [](Run* run) { run->chats[0].ending = Ending::kNone; },
       &CheckResult::lost},
      {"a service call that timed out",
       [](Run* run) { run->services[0].ending = Ending::kNone; },
       &CheckResult::lost},
      {"a key executed twice",
       [](Run* run) { run->executions.push_back(ExecutionOf("t", "k")); },
       &CheckResult::doubled},
      {"an answer that names another key",
       [](Run* run) { run->services[0].answered_key = "other"; },
       &CheckResult::wrong_answers},
      {"an answer without an execution",
       [](Run* run) { run->executions.pop_back(); },
       &CheckResult::wrong_answers},
      {"a refused key that was executed",
       [](Run* run) { run->services[0].ending = Ending::kRefused; },
       &CheckResult::not_run_but_executed},
      {"a refused request that was executed",
       [](Run* run) { run->chats[0].refused_ids = {"b"}; },
       &CheckResult::not_run_but_executed},
      {"one of two sends refused, the other one answered",
       [](Run* run) {
         ServiceOutcome refused = AnsweredCall("k");
         refused.ending = Ending::kRefused;
         run->services.push_back(refused);
       },
       &CheckResult::not_run_but_executed},
  }));
  CAPTURE(row.name);
  Run run;
  row.add_violation(&run);
  const CheckResult result = run.Check();
  CHECK_FALSE(result.HasNoViolations());
  CHECK(result.*row.counter == 1);
  CHECK(result.problems.size() == 1);
}

TEST_CASE("explicit errors are counted but are not violations") {
  struct Case {
    Ending ending;
    uint64_t CheckResult::*counter;
  };
  const auto row = GENERATE(values<Case>({
      {Ending::kRefused, &CheckResult::refused},
      {Ending::kUnknown, &CheckResult::unknown},
      {Ending::kFailed, &CheckResult::failed_explicit},
  }));
  Run run;
  run.chats[0].ending = row.ending;
  run.services[0].ending = row.ending;
  run.executions = {ExecutionOf("a"), ExecutionOf("b")};
  const CheckResult result = run.Check();
  CHECK(result.HasNoViolations());
  CHECK(result.*row.counter == 2);
}

TEST_CASE("cache reuse counts returning turns after the warm-up") {
  std::vector<ChatOutcome> chats(4, WholeAnswer("a"));
  chats[0].reusable_tokens = 100;
  chats[0].cached_tokens = 100;
  chats[0].arrival = std::chrono::seconds(9);
  chats[1] = chats[0];
  chats[1].cached_tokens = 0;
  chats[2] = chats[0];
  chats[2].arrival = std::chrono::seconds(1);
  const CacheReuse reuse = MeasureReuse(chats, std::chrono::seconds(5));
  CHECK(reuse.returning_turns == 2);
  CHECK(reuse.TokenShare() == 0.5);
  CHECK(reuse.WarmShare() == 0.5);
}

TEST_CASE("skew is the maximum engine load divided by the mean") {
  struct Case {
    std::vector<uint32_t> loads;
    double skew;
    uint64_t intervals;
  };
  const auto row = GENERATE(values<Case>({
      {{4, 4, 4}, 1.0, 1},
      {{9, 0, 0}, 3.0, 1},
      {{6, 3, 3}, 1.5, 1},
      {{0, 0, 1}, 0.0, 0},
  }));
  std::vector<EndpointRecords> engines;
  for (const uint32_t load : row.loads) {
    EndpointRecords engine;
    engine.samples = {{1'000, load, 0}};
    engines.push_back(engine);
  }
  const SkewResult skew =
      MeasureSkew(engines, LoadMeasure::kRequests, 0, 100'000'000, 1);
  CHECK(skew.maximum == Approx(row.skew));
  CHECK(skew.intervals == row.intervals);
}

TEST_CASE("counters are summed over their labels") {
  const std::string text =
      "# TYPE wasabi_control_bytes_total counter\n"
      "wasabi_control_bytes_total{kind=\"probe\"} 40\n"
      "wasabi_control_bytes_total{kind=\"load\"} 2\n"
      "wasabi_control_bytes_total_other 1000\n";
  CHECK(SumCounter(text, "wasabi_control_bytes_total") == 42);
  CHECK(SumCounter("wasabi_control_bytes_total 7\n",
                   "wasabi_control_bytes_total") == 7);
  CHECK(SumCounter(text, "missing") == 0);
}

}  // namespace
}  // namespace wasabi::load
