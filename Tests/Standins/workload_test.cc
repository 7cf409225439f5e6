#include "Utilities/Load/workload.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Utilities/Load/event_stream.h"

namespace wasabi::load {
namespace {

constexpr std::string_view kExperiment = R"(
[chats]
turns_per_second = 100
pause_ms_min = 1000
pause_ms_max = 1000
turns = 3
[organisations]
names = large-1, small-1, small-2
large = large-1
large_share = 0.8
[surge]
organisations = small-2
start_ms = 5000
duration_ms = 5000
factor = 10
[service]
name = counter
calls_per_second = 5
resend_share = 0.5
)";

Experiment MakeExperiment() {
  const auto experiment = ParseExperiment(kExperiment, "test");
  REQUIRE(experiment.ok());
  return *experiment;
}

TEST_CASE(
    "a chat sends its next turn after a pause with its history as prefix") {
  Workload workload(MakeExperiment(), "run");
  const ChatTurn first = workload.NextTurn(core::Duration::zero());
  CHECK(first.reusable_tokens == 0);
  workload.FinishTurn(first, "answer", core::Duration::zero());
  const ChatTurn other = workload.NextTurn(core::milliseconds(999));
  CHECK(other.chat != first.chat);
  const ChatTurn second = workload.NextTurn(core::milliseconds(1000));
  REQUIRE(second.chat == first.chat);
  CHECK(second.organisation == first.organisation);
  REQUIRE(second.messages.size() == 3);
  CHECK(second.messages[0] == first.messages[0]);
  CHECK(second.messages[1] == support::ChatMessage{"assistant", "answer"});
  CHECK(second.reusable_tokens ==
        support::TokensOf({second.messages[0], second.messages[1]}));
}

TEST_CASE("a chat ends after its last turn or an abandoned one") {
  Workload workload(MakeExperiment(), "run");
  core::Duration now = core::Duration::zero();
  const std::string chat = workload.NextTurn(now).chat;
  workload.AbandonTurn(workload.NextTurn(now));
  CHECK(workload.NextTurn(now + core::seconds(10)).chat != chat);
}

TEST_CASE("the same seed generates the same sequence of requests") {
  Workload first(MakeExperiment(), "run");
  Workload second(MakeExperiment(), "run");
  for (int i = 0; i < 200; ++i) {
    const core::Duration now = core::milliseconds(10 * i);
    const ChatTurn turn = first.NextTurn(now);
    REQUIRE(turn == second.NextTurn(now));
    REQUIRE(first.TimeToNextTurn(now) == second.TimeToNextTurn(now));
    first.FinishTurn(turn, "answer", now);
    second.FinishTurn(turn, "answer", now);
  }
}

TEST_CASE("answers do not affect arrivals or service calls") {
  Workload answered(MakeExperiment(), "run");
  Workload abandoned(MakeExperiment(), "run");
  for (int i = 0; i < 200; ++i) {
    const core::Duration now = core::milliseconds(10 * i);
    REQUIRE(answered.TimeToNextTurn(now) == abandoned.TimeToNextTurn(now));
    const ChatTurn first = answered.NextTurn(now);
    const ChatTurn second = abandoned.NextTurn(now);
    if (i == 0) {
      CHECK(first == second);
    }
    answered.FinishTurn(first, "answer", now);
    abandoned.AbandonTurn(second);
    REQUIRE(answered.NextServiceCall() == abandoned.NextServiceCall());
  }
}

TEST_CASE("a surge increases the rate and the share of its organisations") {
  constexpr int kArrivals = 20'000;
  struct Case {
    core::Duration now;
    double small_2_share;
    double rate;
  };
  // small-2 has 1/10 of the turns. The surge multiplies its rate by 10, which
  // makes its share 10/19.
  const auto row = GENERATE(Case{core::seconds(0), 0.1, 100},
                            Case{core::seconds(6), 1.0 / 1.9, 190},
                            Case{core::seconds(10), 0.1, 100});
  Workload workload(MakeExperiment(), "run");
  int small_2 = 0;
  core::Duration total = core::Duration::zero();
  for (int i = 0; i < kArrivals; ++i) {
    total += workload.TimeToNextTurn(row.now);
    small_2 += workload.NextTurn(row.now).organisation == "small-2" ? 1 : 0;
  }
  CHECK(small_2 == Approx(row.small_2_share * kArrivals).epsilon(0.1));
  CHECK(kArrivals / core::ToSeconds(total) == Approx(row.rate).epsilon(0.05));
}

TEST_CASE("service calls have unique keys and some are sent twice") {
  Workload workload(MakeExperiment(), "run");
  std::set<std::string> keys;
  int twice = 0;
  constexpr int kCalls = 1000;
  for (int i = 0; i < kCalls; ++i) {
    const ServiceCallPlan plan = workload.NextServiceCall();
    keys.insert(plan.idempotency_key);
    twice += plan.is_sent_twice ? 1 : 0;
  }
  CHECK(keys.size() == kCalls);
  CHECK(twice == Approx(kCalls / 2).epsilon(0.15));
}

TEST_CASE("an error in an experiment file names the value and the file") {
  struct Case {
    std::string text;
    std::string mentioned;
  };
  const auto row = GENERATE(values<Case>({
      {"[organisations]\nlarge = x\n", "organisation x"},
      {"[surge]\norganisations = y\n", "organisation y"},
      {"[chats]\nturn_tokens_min = 90\n", "minimum 90"},
      {"[chats]\nturns_per_second = -1\n", "turns_per_second"},
      {"[chat]\nturns = 1\n", "unknown section"},
  }));
  const auto experiment = ParseExperiment(row.text, "file.ini");
  REQUIRE_FALSE(experiment.ok());
  const std::string message(experiment.status().message());
  CHECK_THAT(message, Catch::Matchers::Contains(row.mentioned));
  CHECK_THAT(message, Catch::Matchers::Contains("file.ini"));
}

TEST_CASE("events are complete for every split of the body") {
  const std::string body = "data: one\n\n: comment\n\ndata: {\"a\":1}\n\n";
  for (size_t split = 0; split <= body.size(); ++split) {
    EventStream stream;
    std::vector<std::string> events;
    const auto collect = [&](std::string_view data) {
      events.emplace_back(data);
    };
    stream.Feed(body.substr(0, split), collect);
    stream.Feed(body.substr(split), collect);
    CHECK(events == std::vector<std::string>{"one", "{\"a\":1}"});
  }
}

}  // namespace
}  // namespace wasabi::load
